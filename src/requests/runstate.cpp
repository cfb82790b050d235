#include <monsoongrade/requests/runstate.h>

namespace monsoongrade::requests {

std::string_view runStateName(RunState state)
{
    switch (state) {
    case RunState::NotRun:
        return "not-run";
    case RunState::Unknown:
        return "unknown";
    case RunState::Partial:
        return "partial";
    }
    return "unknown";
}

} // namespace monsoongrade::requests
