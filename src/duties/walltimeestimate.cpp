#include <monsoongrade/duties/walltimeestimate.h>

#include <algorithm>
#include <vector>

namespace monsoongrade::duties {

namespace {

// A newer sample replaces an older one of the same host after this time, also if it looks slower.
constexpr auto SampleLifetime = std::chrono::seconds(2);
// Hosts not heard of for this long have no say.
constexpr auto MaxSampleAge = std::chrono::seconds(10);

} // namespace

void WallTimeEstimate::onSample(const std::string &host, WallTime shown, units::TimePoint now)
{
    const units::Duration ahead = shown.time_since_epoch() - now.time_since_epoch();
    const auto found = samples_.find(host);
    if (found == samples_.end() || ahead >= found->second.ahead
        || now - found->second.takenAt >= SampleLifetime)
        samples_[host] = {ahead, now};
    for (auto it = samples_.begin(); it != samples_.end();)
        it = now - it->second.takenAt > MaxSampleAge ? samples_.erase(it) : std::next(it);
}

WallTime WallTimeEstimate::at(units::TimePoint now) const
{
    std::vector<units::Duration> ahead;
    ahead.reserve(samples_.size());
    for (const auto &[host, sample] : samples_)
        ahead.push_back(sample.ahead);
    const auto middle = ahead.begin() + std::ptrdiff_t(ahead.size() / 2);
    std::nth_element(ahead.begin(), middle, ahead.end());
    return WallTime(now.time_since_epoch() + *middle);
}

} // namespace monsoongrade::duties
