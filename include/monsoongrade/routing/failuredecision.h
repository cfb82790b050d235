#ifndef MONSOONGRADE_ROUTING_FAILUREDECISION_H
#define MONSOONGRADE_ROUTING_FAILUREDECISION_H

#include <monsoongrade/units/clock.h>

namespace monsoongrade::routing {

// State of a request after an attempt at an endpoint ended without a response for the client.
struct AttemptFailure
{
    // Any attempt of this request, including this one, may have started to run at an endpoint.
    // False only if each attempt was never sent or the endpoint reported that it did not run it.
    bool mayHaveRun = false;
    bool mayRunTwice = false; // idempotent, or a stream that can be resumed
    bool responseBegun = false; // the response headers were already sent to the client
    int sends = 0; // number of endpoints that received the request
    int maxAttempts = 1;
    bool timedOut = false; // the deadline of the request has passed
    bool hasAlternativeEndpoint = false; // another endpoint can take the request
    bool isQuarantined = false; // endpoints crashed while running it, see CrashTracker
    bool hasRetryBudget = false; // the shared retry budget allows one more send
};

enum class NextStep {
    SendAgain,
    RefuseNotRun, // reports that the request did not run and will not: the client may retry
    RespondOutcomeUnknown, // the request may have run
    RespondTimeout, // the request may have run, and its deadline has passed
    AbortResponse, // the response has started and cannot be completed
};

// Decides what to do after a failed attempt. Reporting that the request did not run, or sending a
// request again that must not run twice, requires proof that no attempt ran.
NextStep decideAfterFailure(const AttemptFailure &failure);

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_FAILUREDECISION_H
