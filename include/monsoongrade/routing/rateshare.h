#ifndef MONSOONGRADE_ROUTING_RATESHARE_H
#define MONSOONGRADE_ROUTING_RATESHARE_H

namespace monsoongrade::routing {

// The part of each endpoint's rate limit that one host may use for the requests that it places.
struct RateShare
{
    double fraction = 1; // 0 to 1
    // The fraction integrated over time, in seconds. A request may be placed for each 1 / limit of
    // it: the present fraction does not apply to the time before it changed.
    double accruedSeconds = 0;
    // Every other host may use its own part at the same time, so that each waits for its turn.
    bool takesTurns = false;
};

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_RATESHARE_H
