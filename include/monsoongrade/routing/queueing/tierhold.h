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
class TierHold
{
public:
    // A request of the tier was refused, and its caller is told to return after returnIn. Holds
    // lower tiers for that long, between 0.5 and 2 s.
    void onRefused(const units::PoolName &pool, units::Tier tier, units::Duration returnIn,
                   units::TimePoint now);
    // Time until requests of the tier may be placed; 0: now.
    units::Duration remaining(const units::PoolName &pool, units::Tier tier,
                              units::TimePoint now) const;

private:
    // By the tier that was refused.
    std::unordered_map<std::string, std::map<units::Tier, units::TimePoint>> heldUntil_;
};

} // namespace monsoongrade::routing::queueing

#endif // MONSOONGRADE_ROUTING_QUEUEING_TIERHOLD_H
