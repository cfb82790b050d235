#ifndef MONSOONGRADE_ROUTING_FAILUREDECISION_H
#define MONSOONGRADE_ROUTING_FAILUREDECISION_H

#include <monsoongrade/units/clock.h>

namespace monsoongrade::routing {

// What is known when one attempt at an endpoint has ended without a response for the client.
struct AttemptFailure
{
    // Some attempt of this request, this one included, may have begun to run at an endpoint. False
    // only if each one was never sent or the endpoint itself said that it did not run it.
    bool mayHaveRun = false;
    bool mayRunTwice = false; // idempotent, or a stream that may resume
    bool responseBegun = false; // the client already has the head of a response
    int sends = 0; // endpoints that have had the request
    int maxAttempts = 1;
    bool timedOut = false; // the time for the request is over
    bool hasAlternativeEndpoint = false; // another endpoint is there to take the request
    bool isQuarantined = false; // endpoints crashed while they ran it, see CrashTracker
    bool hasRetryBudget = false; // the shared retry budget allows one more send
};

enum class NextStep {
    SendAgain,
    RefuseNotRun, // "did not run and never will": the client may repeat it
    RespondOutcomeUnknown, // may have run
    RespondTimeout, // may have run, and the time is over
    AbortResponse, // the response has begun and can't be completed
};

// Decides what follows a failed attempt. Only proof that nothing ran permits a refusal that says
// so, or a second send of a request that must not run twice.
NextStep decideAfterFailure(const AttemptFailure &failure);

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_FAILUREDECISION_H
