#ifndef MONSOONGRADE_SCALING_SIZINGPOLICY_H
#define MONSOONGRADE_SCALING_SIZINGPOLICY_H

#include <monsoongrade/routing/poolscaling.h>
#include <monsoongrade/scaling/poolendpointcounts.h>

#include <map>
#include <set>

namespace monsoongrade::scaling {

// Desired endpoints in one failure domain.
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

// Input of a decision on the size of a pool.
struct SizingInput
{
    routing::PoolScaling scaling;
    PoolEndpointCounts endpointCounts;
    // Endpoints needed for the load.
    int needed = 0;
    // Failure domains that currently have no preemptible capacity.
    std::set<units::FailureDomain> preemptibleUnavailable;
};

// Decides how many endpoints of each kind a pool should have in each failure domain. Depends only
// on its input, so all hosts decide the same.
class SizingPolicy
{
public:
    virtual ~SizingPolicy() = default;
    virtual PoolSize decide(const SizingInput &input) const = 0;
};

} // namespace monsoongrade::scaling

#endif // MONSOONGRADE_SCALING_SIZINGPOLICY_H
