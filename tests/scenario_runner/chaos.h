#ifndef MONSOONGRADE_TESTS_SCENARIO_RUNNER_CHAOS_H
#define MONSOONGRADE_TESTS_SCENARIO_RUNNER_CHAOS_H

#include <cstdint>
#include <string>

namespace monsoongrade::scenarios {

// A scenario that mixes all faults at random while callers of every kind go on for so many
// seconds. The same seed gives the same text; the text is the trace that can be run again.
// Without repeats no idempotency key is sent twice.
std::string randomScenario(std::uint64_t seed, int seconds, bool repeats);

} // namespace monsoongrade::scenarios

#endif // MONSOONGRADE_TESTS_SCENARIO_RUNNER_CHAOS_H
