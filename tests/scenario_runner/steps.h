#ifndef MONSOONGRADE_TESTS_SCENARIO_RUNNER_STEPS_H
#define MONSOONGRADE_TESTS_SCENARIO_RUNNER_STEPS_H

#include "stage.h"

#include <monsoongrade/configuration/mappingreader.h>

#include <functional>
#include <map>
#include <string>

namespace monsoongrade::scenarios {

// One step, ready to be carried out.
using Action = std::function<void(Stage &)>;
// Reads a step whose key is the word; the reader stands on the step's mapping.
using StepReader
    = std::function<Action(configuration::MappingReader &step, const std::string &word)>;

// Steps that do something: send, kill, platform and so on; docs/design/scenarios.md lists them.
std::map<std::string, StepReader> actionSteps();
// Steps that check something; their words begin with "expect".
std::map<std::string, StepReader> expectationSteps();

} // namespace monsoongrade::scenarios

#endif // MONSOONGRADE_TESTS_SCENARIO_RUNNER_STEPS_H
