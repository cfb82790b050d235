#include <monsoongrade/routing/failuredecision.h>

namespace monsoongrade::routing {

NextStep decideAfterFailure(const AttemptFailure &failure)
{
    const bool isAllowed = !failure.mayHaveRun || failure.mayRunTwice;
    const bool isPossible = !failure.timedOut && failure.hasAlternativeEndpoint
        && !failure.isQuarantined && failure.sends < failure.maxAttempts
        && (failure.sends == 0 || failure.hasRetryBudget);
    if (isAllowed && isPossible)
        return NextStep::SendAgain;
    if (failure.responseBegun)
        return NextStep::AbortResponse;
    if (!failure.mayHaveRun)
        return NextStep::RefuseNotRun;
    return failure.timedOut ? NextStep::RespondTimeout : NextStep::RespondOutcomeUnknown;
}

} // namespace monsoongrade::routing
