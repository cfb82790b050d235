#ifndef MONSOONGRADE_TESTS_SCENARIO_RUNNER_STEPS_H
#define MONSOONGRADE_TESTS_SCENARIO_RUNNER_STEPS_H

#include "condition.h"
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
// Steps that cut daemons off one another: cut and heal.
std::map<std::string, StepReader> networkSteps();
// Steps that check something; their words begin with "expect".
std::map<std::string, StepReader> expectationSteps();
// Those that look at the journals of endpoints.
std::map<std::string, StepReader> runExpectationSteps();
// Those that look at the routers' records of refusals.
std::map<std::string, StepReader> refusalSteps();

// Notes a problem at the key where the text is no condition.
Condition readCondition(configuration::MappingReader &item, const std::string &key,
                        const std::string &text);

} // namespace monsoongrade::scenarios

#endif // MONSOONGRADE_TESTS_SCENARIO_RUNNER_STEPS_H
