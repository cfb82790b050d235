#include <monsoongrade/scheduling/retryplanner.h>

#include <monsoongrade/units/jitter.h>

#include <algorithm>

namespace monsoongrade::scheduling {

namespace {

constexpr auto LeastRetryAfter = std::chrono::seconds(1);
constexpr auto LongestRetryAfter = std::chrono::seconds(120);

units::Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<units::Duration>(std::chrono::duration<double>(seconds));
}

} // namespace

units::Duration RetryPlanner::retryAfter(units::Tier tier, const units::RequestId &request,
                                         std::size_t ahead, double drainPerSecond,
                                         units::TimePoint now)
{
    const units::Duration gap = fromSeconds(1 / drainPerSecond);
    const units::Duration drain = fromSeconds(static_cast<double>(ahead + 1) / drainPerSecond);
    if (!spreading_)
        return std::clamp<units::Duration>(drain, LeastRetryAfter, LongestRetryAfter);
    units::TimePoint &next = nextReturn_[tier];
    next = std::max(next, now + std::min<units::Duration>(drain, LongestRetryAfter)) + gap;
    const units::Duration wait = next - now + fromSeconds(units::jitterOf(request));
    if (wait <= LongestRetryAfter)
        return std::max<units::Duration>(wait, LeastRetryAfter);
    // Beyond the longest time there is no room to book; spread over the half before it.
    next = now + LongestRetryAfter;
    return fromSeconds((1 + units::jitterOf(request)) / 2 * LongestRetryAfter.count());
}

} // namespace monsoongrade::scheduling
