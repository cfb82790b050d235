#ifndef MONSOONGRADE_SCHEDULING_CELLPOLICY_H
#define MONSOONGRADE_SCHEDULING_CELLPOLICY_H

#include <monsoongrade/scheduling/classpolicy.h>

#include <cstddef>
#include <map>
#include <vector>

namespace monsoongrade::scheduling {

// One endpoint as the configuration describes it.
struct EndpointPolicy
{
    units::EndpointId id;
    int slots = 1;
};

// Everything a cell's decisions depend on besides the asks themselves.
struct CellPolicy
{
    std::map<units::ClassName, ClassPolicy> classes;
    std::map<units::WorkspaceName, double> workspaceWeights;
    std::vector<EndpointPolicy> endpoints;
    std::size_t queueLimit = 10000;
    // Share of the grants kept for backlogged lower tiers, so that none of them starves.
    double guaranteedShare = 0.05;
};

} // namespace monsoongrade::scheduling

#endif // MONSOONGRADE_SCHEDULING_CELLPOLICY_H
