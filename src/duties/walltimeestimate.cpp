#include <monsoongrade/duties/walltimeestimate.h>

#include <algorithm>
#include <vector>

namespace monsoongrade::duties {

namespace {

// After this time a sample is replaced by a newer one of the same host even if that looks slower.
constexpr auto SampleLifetime = std::chrono::seconds(2);
// Samples of hosts not heard of for this long are dropped.
constexpr auto MaxSampleAge = std::chrono::seconds(10);

} // namespace

void WallTimeEstimate::onSample(const std::string &host, WallTime shown, units::TimePoint now)
{
    const units::Duration offset = shown.time_since_epoch() - now.time_since_epoch();
    const auto found = samples_.find(host);
    if (found == samples_.end() || offset >= found->second.offset
        || now - found->second.takenAt >= SampleLifetime)
        samples_[host] = {offset, now};
    for (auto it = samples_.begin(); it != samples_.end();)
        it = now - it->second.takenAt > MaxSampleAge ? samples_.erase(it) : std::next(it);
}

WallTime WallTimeEstimate::at(units::TimePoint time) const
{
    std::vector<units::Duration> offsets;
    offsets.reserve(samples_.size());
    for (const auto &[host, sample] : samples_)
        offsets.push_back(sample.offset);
    const auto middle = offsets.begin() + std::ptrdiff_t(offsets.size() / 2);
    std::nth_element(offsets.begin(), middle, offsets.end());
    return WallTime(time.time_since_epoch() + *middle);
}

} // namespace monsoongrade::duties
