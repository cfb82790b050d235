#ifndef MONSOONGRADE_ROUTING_PERFORMANCE_LEARNEDSPEED_H
#define MONSOONGRADE_ROUTING_PERFORMANCE_LEARNEDSPEED_H

#include <monsoongrade/routing/endpointinstance.h>
#include <monsoongrade/units/clock.h>

namespace monsoongrade::routing::performance {

// The learned prefill speed of an endpoint, as hosts tell it to each other and log it.
struct LearnedSpeed
{
    EndpointInstance endpoint;
    double relativeSpeed = 1;
    int samples = 0;
    units::Duration age{}; // since the newest sample
    bool isSlowNow = false; // not sent
};

} // namespace monsoongrade::routing::performance

#endif // MONSOONGRADE_ROUTING_PERFORMANCE_LEARNEDSPEED_H
