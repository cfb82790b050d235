#ifndef MONSOONGRADE_TESTS_SCENARIO_RUNNER_CLUSTERPLAN_H
#define MONSOONGRADE_TESTS_SCENARIO_RUNNER_CLUSTERPLAN_H

#include "relay.h"
#include "subnet.h"

#include <monsoongrade/configuration/mappingreader.h>

#include <map>
#include <string>
#include <vector>

namespace monsoongrade::scenarios {

// Every daemon's setting operator-token.
constexpr const char *OperatorToken = "scenario-operator";

// What a scenario runs on: the cluster section of its file. Without files of its own a scenario
// has classes high, mid and low (tiers 0 to 2, chosen by the header x-work), the workspaces a and
// b with the keys key-a and key-b, the model test-model, and services below /portal/ whose calls
// run at most once, but for those below /portal/read.
struct ClusterPlan
{
    int entryHosts = 2;
    int engines = 2;
    int services = 1;
    int slots = 4;
    // What an endpoint really runs at once; the same without it.
    int engineSlots = 4;
    int queueLimit = 1000;
    std::string maxWait = "15s";
    std::string late = "serve";
    std::string keepAddress = "1s";
    std::string silenceTimeout = "10s";
    // What the configuration says; the key engines-resume, the same without it, is the truth.
    bool canResume = false;
    // Daemons reach one another and the platform through a relay, so that they can be cut off.
    bool relayed = false;
    std::vector<std::string> engineArguments;
    // Added to the configuration, or put in place of a file of the same name.
    std::map<std::string, std::string> files;
};

ClusterPlan readClusterPlan(configuration::MappingReader reader);

// Texts of the configuration's files by name.
std::map<std::string, std::string> configurationFiles(const ClusterPlan &plan,
                                                      const Subnet &subnet);
// Settings of router-N or scheduler-N.
std::string daemonSettings(const ClusterPlan &plan, const Subnet &subnet, const std::string &name);
// One route for each daemon to each other one and to the platform; none where nothing is relayed.
std::vector<RelayRoute> relayRoutes(const ClusterPlan &plan, const Subnet &subnet);
// N of a name that ends so.
int numberIn(const std::string &name);
// The body for the platform's host list; states by host name, "live" where none is given.
std::string hostList(const ClusterPlan &plan, const Subnet &subnet,
                     const std::map<std::string, std::string> &states);

} // namespace monsoongrade::scenarios

#endif // MONSOONGRADE_TESTS_SCENARIO_RUNNER_CLUSTERPLAN_H
