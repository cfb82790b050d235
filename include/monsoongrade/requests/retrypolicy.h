#ifndef MONSOONGRADE_REQUESTS_RETRYPOLICY_H
#define MONSOONGRADE_REQUESTS_RETRYPOLICY_H

#include <monsoongrade/configuration/configuration.h>
#include <monsoongrade/endpoints/endpointend.h>

namespace monsoongrade::requests {

// How one call to an endpoint went, as far as the next step depends on it.
struct AttemptResult
{
    endpoints::EndpointEnd end;
    // 0 where no status line arrived.
    int status = 0;
    // Bytes of the answer have already gone to the caller.
    bool answerStarted = false;
    // The answer's end doesn't prove that it is whole.
    bool truncated = false;
    // The endpoint's pool can go on with the stream behind what the caller has.
    bool resumable = false;
    int attemptsMade = 1;
};

enum class NextStep {
    Complete,
    // Ask for a slot on another endpoint.
    TryElsewhere,
    // Ask for a slot and let its endpoint go on with the stream.
    Resume,
    // Final: nothing ran.
    RefuseNotRun,
    // Final: it may have run.
    FailUnknown,
    // Final: part of the answer was delivered.
    FailPartial,
};

// Decides what follows a call's end. Pure.
NextStep decideNextStep(const AttemptResult &attempt, configuration::RunRule run,
                        configuration::PoolKind kind);

// True where the endpoint itself said that it did not begin to run the request.
bool refusedBeforeRunning(const AttemptResult &attempt, configuration::PoolKind kind);

} // namespace monsoongrade::requests

#endif // MONSOONGRADE_REQUESTS_RETRYPOLICY_H
