#ifndef MONSOONGRADE_ROUTING_POOLSCALING_H
#define MONSOONGRADE_ROUTING_POOLSCALING_H

#include <monsoongrade/units/clock.h>
#include <monsoongrade/units/ids.h>

#include <map>

namespace monsoongrade::routing {

// Limits and prices for scaling a pool.
struct PoolScaling
{
    // Endpoints in each failure domain, on-demand and preemptible together.
    int minPerDomain = 1;
    int maxPerDomain = 1;
    units::Duration bootTime{}; // from the order until the endpoint serves
    // Price of a preemptible endpoint relative to an on-demand one; at 1 or more none are used.
    double preemptiblePrice = 1;
    // Price per second of an on-demand endpoint in each failure domain that has endpoints.
    std::map<units::FailureDomain, double> prices;
};

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_POOLSCALING_H
