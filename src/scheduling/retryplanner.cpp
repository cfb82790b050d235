#include <monsoongrade/scheduling/retryplanner.h>

#include <monsoongrade/units/jitter.h>

#include <algorithm>

namespace monsoongrade::scheduling {

namespace {

constexpr auto MinRetryAfter = std::chrono::seconds(1);
constexpr auto MaxRetryAfter = std::chrono::seconds(120);

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
        return std::clamp<units::Duration>(drain, MinRetryAfter, MaxRetryAfter);
    units::TimePoint &next = nextReturn_[tier];
    next = std::max(next, now + std::min<units::Duration>(drain, MaxRetryAfter)) + gap;
    const units::Duration wait = next - now + fromSeconds(units::jitterOf(request));
    if (wait <= MaxRetryAfter)
        return std::max<units::Duration>(wait, MinRetryAfter);
    // Beyond the longest time there is no room to book; spread over the half before it.
    next = now + MaxRetryAfter;
    return fromSeconds((1 + units::jitterOf(request)) / 2 * MaxRetryAfter.count());
}

} // namespace monsoongrade::scheduling
