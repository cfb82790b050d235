#ifndef MONSOONGRADE_REQUESTS_RUNSTATE_H
#define MONSOONGRADE_REQUESTS_RUNSTATE_H

#include <string_view>

namespace monsoongrade::requests {

// What a caller may believe about a request that did not get its whole answer.
enum class RunState {
    // No endpoint began to run it.
    NotRun,
    // It may have run.
    Unknown,
    // It ran, and part of the answer was delivered.
    Partial,
};

std::string_view runStateName(RunState state);

} // namespace monsoongrade::requests

#endif // MONSOONGRADE_REQUESTS_RUNSTATE_H
