#include "steps.h"

#include <stdexcept>

namespace monsoongrade::scenarios {

namespace {

using configuration::MappingReader;

// A process's name, entry-N for both daemons of a host, a beginning with "*", or "all" daemons.
std::vector<std::string> daemonsNamed(const Cluster &cluster, const std::string &name)
{
    const std::string entry = "entry-";
    if (name.compare(0, entry.size(), entry) == 0)
        return {"router-" + name.substr(entry.size()), "scheduler-" + name.substr(entry.size())};
    if (name == "all") {
        auto daemons = cluster.names("router-");
        for (const std::string &scheduler : cluster.names("scheduler-"))
            daemons.push_back(scheduler);
        return daemons;
    }
    if (name.back() == '*')
        return cluster.names(name.substr(0, name.size() - 1));
    if (!cluster.has(name))
        throw std::runtime_error("no process is named " + name);
    return {name};
}

bool areOnOneHost(const std::string &a, const std::string &b)
{
    return a != "platform" && b != "platform" && numberIn(a) == numberIn(b);
}

// cut: {from: router-1, to: scheduler-2, both: true}; what is on one host is never cut.
StepReader cutStep(bool isCut)
{
    return [isCut](MappingReader &step, const std::string &word) -> Action {
        MappingReader item = step.mapping(word);
        const std::string from = item.requiredText("from");
        const std::string to = item.requiredText("to");
        const bool both = item.flag("both", false);
        item.finish();
        return [=](Stage &stage) {
            Cluster &cluster = stage.cluster();
            if (!cluster.plan().relayed)
                throw std::runtime_error("only a cluster with relayed: true can be cut");
            for (const std::string &sender : daemonsNamed(cluster, from)) {
                for (const std::string &receiver : daemonsNamed(cluster, to)) {
                    if (areOnOneHost(sender, receiver))
                        continue;
                    cluster.relay().setCut(sender, receiver, isCut);
                    if (both)
                        cluster.relay().setCut(receiver, sender, isCut);
                }
            }
        };
    };
}

} // namespace

std::map<std::string, StepReader> networkSteps()
{
    return {{"cut", cutStep(true)}, {"heal", cutStep(false)}};
}

} // namespace monsoongrade::scenarios
