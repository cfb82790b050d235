#ifndef MONSOONGRADE_ROUTING_QUEUEING_REFUSALDETAILS_H
#define MONSOONGRADE_ROUTING_QUEUEING_REFUSALDETAILS_H

#include <monsoongrade/units/clock.h>
#include <monsoongrade/units/ids.h>

#include <cstdint>

namespace monsoongrade::routing::queueing {

// Why a request was refused because of a long queue, for the log.
struct RefusalDetails
{
    units::PoolName pool;
    units::Tier tier;
    units::WorkspaceName workspace;
    bool isOverShare = false; // its workspace was over its share
    units::Duration returnIn{}; // the retry time given to the caller
    bool isBooked = false; // capacity is reserved at that time
    units::Duration heldFor{}; // of the retry time, see TierHold
    std::int64_t aheadTokens = 0; // queued ahead of the request
    std::int64_t bookedTokens = 0; // reserved ahead of it for scheduled retries
    double tokensPerMs = 0; // at which these are expected to drain; 0: not used
};

} // namespace monsoongrade::routing::queueing

#endif // MONSOONGRADE_ROUTING_QUEUEING_REFUSALDETAILS_H
