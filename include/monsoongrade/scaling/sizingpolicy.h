#ifndef MONSOONGRADE_SCALING_SIZINGPOLICY_H
#define MONSOONGRADE_SCALING_SIZINGPOLICY_H

#include <monsoongrade/routing/poolscaling.h>
#include <monsoongrade/scaling/poolendpointcounts.h>

#include <map>
#include <set>

namespace monsoongrade::scaling {

// Endpoints wanted in one failure domain.
struct DomainSize
{
    int ordinary = 0;
    int preemptible = 0;

    friend bool operator==(const DomainSize &a, const DomainSize &b)
    {
        return a.ordinary == b.ordinary && a.preemptible == b.preemptible;
    }
};

using PoolSize = std::map<units::FailureDomain, DomainSize>;

// What a decision on the size of a pool is based on.
struct SizingInput
{
    routing::PoolScaling scaling;
    PoolEndpointCounts endpointCounts;
    // Endpoints that the load needs.
    int needed = 0;
    // Failure domains in which no preemptible endpoint is to be had at the moment.
    std::set<units::FailureDomain> preemptibleUnavailable;
};

// Decides how many endpoints of each kind a pool shall have in each failure domain. Knows nothing
// but its input, so any host decides the same.
class SizingPolicy
{
public:
    virtual ~SizingPolicy() = default;
    virtual PoolSize decide(const SizingInput &input) const = 0;
};

} // namespace monsoongrade::scaling

#endif // MONSOONGRADE_SCALING_SIZINGPOLICY_H
