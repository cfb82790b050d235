#ifndef MONSOONGRADE_REQUESTS_REFUSAL_H
#define MONSOONGRADE_REQUESTS_REFUSAL_H

#include <monsoongrade/http/httpresponder.h>
#include <monsoongrade/requests/runstate.h>
#include <monsoongrade/units/clock.h>
#include <monsoongrade/units/error.h>
#include <monsoongrade/units/ids.h>

namespace monsoongrade::requests {

// The final answer to a request that gets no whole answer.
struct Refusal
{
    units::RequestId request;
    units::Error error;
    RunState runState = RunState::NotRun;
    // Zero where a retry can't help.
    units::Duration retryAfter{};
    // The same request may be sent again even if it has run: it is idempotent or has a key.
    bool mayRepeat = false;
};

// HTTP status that goes with a result code.
int httpStatusFor(units::ResultCode code);

// Sends the refusal as a whole answer.
void sendRefusal(http::HttpResponder &responder, const Refusal &refusal);

// The refusal as a closing event of a stream that has begun.
std::string refusalEvent(const Refusal &refusal);

} // namespace monsoongrade::requests

#endif // MONSOONGRADE_REQUESTS_REFUSAL_H
