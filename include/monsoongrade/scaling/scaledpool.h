#ifndef MONSOONGRADE_SCALING_SCALEDPOOL_H
#define MONSOONGRADE_SCALING_SCALEDPOOL_H

#include <monsoongrade/routing/poolscaling.h>
#include <monsoongrade/scaling/poolendpointcounts.h>

#include <vector>

namespace monsoongrade::scaling {

// A pool that may be scaled, with its endpoints as known to this host.
struct ScaledPool
{
    units::PoolName name;
    routing::PoolScaling scaling;
    PoolEndpointCounts endpointCounts;
};

// The scaled pools of the active configuration.
class ScaledPools
{
public:
    virtual ~ScaledPools() = default;
    virtual std::vector<ScaledPool> pools() const = 0;
    // False while entries of the list may be missing or outdated.
    virtual bool isCurrent() const = 0;
};

} // namespace monsoongrade::scaling

#endif // MONSOONGRADE_SCALING_SCALEDPOOL_H
