#ifndef MONSOONGRADE_TESTS_SCENARIO_RUNNER_SCENARIO_H
#define MONSOONGRADE_TESTS_SCENARIO_RUNNER_SCENARIO_H

#include "clusterplan.h"
#include "steps.h"

#include <monsoongrade/configuration/problem.h>
#include <monsoongrade/configuration/sourcefile.h>

#include <chrono>
#include <string>
#include <vector>

namespace monsoongrade::scenarios {

struct Step
{
    // "file:line: word"
    std::string place;
    Action action;
};

struct Scenario
{
    ClusterPlan cluster;
    std::chrono::nanoseconds limit{};
    std::vector<Step> steps;
};

// The scenario counts only where no problem is added.
Scenario readScenario(const configuration::SourceFile &file, configuration::Problems &problems);

// Starts the cluster, carries out the steps, looks whether a process died by itself, and ends
// all. Returns the number of failed expectations.
std::size_t runScenario(const Scenario &scenario, const std::string &programs,
                        const std::string &folder);

} // namespace monsoongrade::scenarios

#endif // MONSOONGRADE_TESTS_SCENARIO_RUNNER_SCENARIO_H
