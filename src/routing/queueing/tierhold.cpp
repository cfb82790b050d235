#include <monsoongrade/routing/queueing/tierhold.h>

#include <algorithm>

namespace monsoongrade::routing::queueing {

namespace {

// Callers that are told no time return after 0.25 to 0.6 s.
constexpr auto MinHold = std::chrono::milliseconds(500);
// Requests that are held wait, and are worth little to their callers after more than this.
constexpr auto MaxHold = std::chrono::seconds(2);

} // namespace

void TierHold::onRefused(const units::PoolName &pool, units::Tier tier, units::Duration returnIn,
                         units::TimePoint now)
{
    units::TimePoint &until = heldUntil_[pool.value()][tier];
    until = std::max(until, now + std::clamp<units::Duration>(returnIn, MinHold, MaxHold));
}

units::Duration TierHold::remaining(const units::PoolName &pool, units::Tier tier,
                                    units::TimePoint now) const
{
    units::TimePoint until = now;
    const auto found = heldUntil_.find(pool.value());
    if (found == heldUntil_.end())
        return {};
    for (const auto &[refused, heldUntil] : found->second) {
        if (!(refused < tier))
            break;
        until = std::max(until, heldUntil);
    }
    return until - now;
}

} // namespace monsoongrade::routing::queueing
