#ifndef MONSOONGRADE_ROUTING_POOLSCALING_H
#define MONSOONGRADE_ROUTING_POOLSCALING_H

#include <monsoongrade/units/clock.h>
#include <monsoongrade/units/ids.h>

#include <map>

namespace monsoongrade::routing {

// How the number of a pool's endpoints may be changed, and what they cost.
struct PoolScaling
{
    // Endpoints in each failure domain, ordinary and preemptible ones together.
    int minPerDomain = 1;
    int maxPerDomain = 1;
    units::Duration bootTime{}; // from an order until the endpoint serves
    // Price of a preemptible endpoint in that of an ordinary one; 1 or more: there is no use in
    // them.
    double preemptiblePrice = 1;
    // Price of an ordinary endpoint's second in each failure domain that has endpoints.
    std::map<units::FailureDomain, double> prices;
};

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_POOLSCALING_H
