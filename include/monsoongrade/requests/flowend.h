#ifndef MONSOONGRADE_REQUESTS_FLOWEND_H
#define MONSOONGRADE_REQUESTS_FLOWEND_H

#include <monsoongrade/requests/runstate.h>
#include <monsoongrade/units/resultcode.h>

namespace monsoongrade::requests {

// How a request ended.
struct FlowEnd
{
    // Ok where the whole answer was given.
    units::ResultCode code = units::ResultCode::Ok;
    // Counts only where the code isn't Ok.
    RunState runState = RunState::NotRun;
};

} // namespace monsoongrade::requests

#endif // MONSOONGRADE_REQUESTS_FLOWEND_H
