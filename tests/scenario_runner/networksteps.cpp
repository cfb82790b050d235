#include "steps.h"

#include <stdexcept>

namespace monsoongrade::scenarios {

namespace {

using configuration::MappingReader;

// By the numbers in their names; the platform is on no host of the others.
bool areOnOneHost(const std::string &a, const std::string &b)
{
    return a.substr(a.rfind('-') + 1) == b.substr(b.rfind('-') + 1);
}

// cut: {from: router-1, to: scheduler-2, both: true}, and heal with the same keys and breaks: true;
// what is on one host is never cut.
StepReader networkStep(bool isCut)
{
    return [isCut](MappingReader &step, const std::string &word) -> Action {
        MappingReader item = step.mapping(word);
        const std::string from = item.requiredText("from");
        const std::string to = item.requiredText("to");
        const bool both = item.flag("both", false);
        const bool isPassed = isCut || !item.flag("breaks", false);
        item.finish();
        const auto change = [=](Relay &relay, const Relay::Direction &direction) {
            isCut ? relay.cut(direction) : relay.heal(direction, isPassed);
        };
        return [=](Stage &stage) {
            Cluster &cluster = stage.cluster();
            if (!cluster.plan().relayed)
                throw std::runtime_error("only a cluster with relayed: true can be cut");
            for (const std::string &sender : cluster.chosen(from)) {
                for (const std::string &receiver : cluster.chosen(to)) {
                    if (areOnOneHost(sender, receiver))
                        continue;
                    change(cluster.relay(), {sender, receiver});
                    if (both)
                        change(cluster.relay(), {receiver, sender});
                }
            }
        };
    };
}

} // namespace

std::map<std::string, StepReader> networkSteps()
{
    return {{"cut", networkStep(true)}, {"heal", networkStep(false)}};
}

} // namespace monsoongrade::scenarios
