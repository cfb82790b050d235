#ifndef MONSOONGRADE_SCALING_SCALEDPOOL_H
#define MONSOONGRADE_SCALING_SCALEDPOOL_H

#include <monsoongrade/routing/poolscaling.h>
#include <monsoongrade/scaling/poolendpointcounts.h>

#include <vector>

namespace monsoongrade::scaling {

// A pool whose number of endpoints may be changed, as this host knows it.
struct ScaledPool
{
    units::PoolName name;
    routing::PoolScaling scaling;
    PoolEndpointCounts endpointCounts;
};

// The pools of the configuration in force.
class ScaledPools
{
public:
    virtual ~ScaledPools() = default;
    virtual std::vector<ScaledPool> pools() const = 0;
    // What is listed here is recent; entries may be missing or outdated otherwise.
    virtual bool isCurrent() const = 0;
};

} // namespace monsoongrade::scaling

#endif // MONSOONGRADE_SCALING_SCALEDPOOL_H
