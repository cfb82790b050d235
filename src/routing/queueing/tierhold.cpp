#include <monsoongrade/routing/queueing/tierhold.h>

#include <monsoongrade/units/halflife.h>

#include <algorithm>

namespace monsoongrade::routing::queueing {

namespace {

// Callers that are told no time return after 0.25 to 0.6 s.
constexpr auto MinHold = std::chrono::milliseconds(500);
// Requests that are held wait, and are worth little to their callers after more than this.
constexpr auto MaxHold = std::chrono::seconds(2);

constexpr std::chrono::duration<double> HalfLife = std::chrono::seconds(1);
constexpr double MinRefusedShare = 0.02;

} // namespace

TierHold::TierState &TierHold::decayed(const units::PoolName &pool, units::Tier tier,
                                       units::TimePoint now)
{
    TierState &state = tiers_[pool.value()][tier];
    const double left = units::shareLeft(now - state.countedAt, HalfLife);
    state.arrived *= left;
    state.refused *= left;
    state.countedAt = now;
    return state;
}

void TierHold::onArrived(const units::PoolName &pool, units::Tier tier, units::TimePoint now)
{
    ++decayed(pool, tier, now).arrived;
}

void TierHold::onRefused(const units::PoolName &pool, units::Tier tier, units::Duration returnIn,
                         units::TimePoint now)
{
    TierState &state = decayed(pool, tier, now);
    ++state.refused;
    if (state.refused < state.arrived * MinRefusedShare)
        return;
    state.heldUntil
        = std::max(state.heldUntil, now + std::clamp<units::Duration>(returnIn, MinHold, MaxHold));
}

units::Duration TierHold::remaining(const units::PoolName &pool, units::Tier tier,
                                    units::TimePoint now) const
{
    units::TimePoint until = now;
    const auto found = tiers_.find(pool.value());
    if (found == tiers_.end())
        return {};
    for (const auto &[each, state] : found->second) {
        if (!(each < tier))
            break;
        until = std::max(until, state.heldUntil);
    }
    return until - now;
}

} // namespace monsoongrade::routing::queueing
