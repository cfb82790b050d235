#ifndef MONSOONGRADE_ROUTING_QUEUEING_TIERHOLD_H
#define MONSOONGRADE_ROUTING_QUEUEING_TIERHOLD_H

#include <monsoongrade/units/clock.h>
#include <monsoongrade/units/ids.h>

#include <map>
#include <string>
#include <unordered_map>

namespace monsoongrade::routing::queueing {

// Holds back requests of lower tiers after one of a higher tier was refused for want of a pool's
// capacity, until its caller may have returned. Otherwise lower tiers would use the capacity that
// the refused request is told to come back for.
//
// Single refusals hold nothing, as of requests that waited for one endpoint only: at least one in
// fifty recent requests of the tier must have been refused, with a half-life of a second.
class TierHold
{
public:
    // A request of the tier arrived.
    void onArrived(const units::PoolName &pool, units::Tier tier, units::TimePoint now);
    // A request of the tier was refused, and its caller is told to return after returnIn. Holds
    // lower tiers for that long, between 0.5 and 2 s, if many are refused.
    void onRefused(const units::PoolName &pool, units::Tier tier, units::Duration returnIn,
                   units::TimePoint now);
    // Time until requests of the tier may be placed; 0: now.
    units::Duration remaining(const units::PoolName &pool, units::Tier tier,
                              units::TimePoint now) const;

private:
    struct TierState
    {
        double arrived = 0; // decaying counts as of countedAt
        double refused = 0;
        units::TimePoint countedAt;
        units::TimePoint heldUntil; // for lower tiers
    };

    TierState &decayed(const units::PoolName &pool, units::Tier tier, units::TimePoint now);

    std::unordered_map<std::string, std::map<units::Tier, TierState>> tiers_;
};

} // namespace monsoongrade::routing::queueing

#endif // MONSOONGRADE_ROUTING_QUEUEING_TIERHOLD_H
