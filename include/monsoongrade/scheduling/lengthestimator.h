#ifndef MONSOONGRADE_SCHEDULING_LENGTHESTIMATOR_H
#define MONSOONGRADE_SCHEDULING_LENGTHESTIMATOR_H

#include <monsoongrade/units/ids.h>

#include <map>
#include <utility>

namespace monsoongrade::scheduling {

// Guesses how many tokens an answer will have, from what was seen of its class and workspace.
class LengthEstimator
{
public:
    double estimate(const units::ClassName &className, const units::WorkspaceName &workspace) const;
    void learn(const units::ClassName &className, const units::WorkspaceName &workspace,
               double tokens);

private:
    std::map<units::ClassName, double> byClass_;
    std::map<std::pair<units::ClassName, units::WorkspaceName>, double> byWorkspace_;
};

} // namespace monsoongrade::scheduling

#endif // MONSOONGRADE_SCHEDULING_LENGTHESTIMATOR_H
