#include <monsoongrade/routing/failuredecision.h>

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace monsoongrade::routing;

namespace {

AttemptFailure retryable()
{
    AttemptFailure failure;
    failure.sends = 1;
    failure.maxAttempts = 2;
    failure.hasAlternativeEndpoint = true;
    failure.hasRetryBudget = true;
    return failure;
}

} // namespace

TEST_CASE("FailureDecision.RequestThatMustNotRunTwiceIsNotResentOnceItMayHaveRun")
{
    const bool holds = rc::check("resends only requests that did not run or may run twice", [] {
        AttemptFailure failure;
        failure.mayHaveRun = *rc::gen::arbitrary<bool>();
        failure.mayRunTwice = *rc::gen::arbitrary<bool>();
        failure.responseBegun = *rc::gen::arbitrary<bool>();
        failure.sends = *rc::gen::inRange(0, 4);
        failure.maxAttempts = *rc::gen::inRange(1, 4);
        failure.timedOut = *rc::gen::arbitrary<bool>();
        failure.hasAlternativeEndpoint = *rc::gen::arbitrary<bool>();
        failure.hasRetryBudget = *rc::gen::arbitrary<bool>();
        const NextStep step = decideAfterFailure(failure);
        if (step == NextStep::SendAgain) {
            RC_ASSERT(!failure.mayHaveRun || failure.mayRunTwice);
            RC_ASSERT(failure.sends < failure.maxAttempts);
            RC_ASSERT(failure.hasAlternativeEndpoint && !failure.timedOut);
            RC_ASSERT(failure.hasRetryBudget || failure.sends == 0);
        }
        if (step == NextStep::RefuseNotRun)
            RC_ASSERT(!failure.mayHaveRun && !failure.responseBegun);
        if (failure.responseBegun)
            RC_ASSERT(step == NextStep::SendAgain || step == NextStep::AbortResponse);
    });
    CHECK(holds);
}

TEST_CASE("FailureDecision.RequestThatProvablyDidNotRunIsResent")
{
    CHECK(decideAfterFailure(retryable()) == NextStep::SendAgain);
}

TEST_CASE("FailureDecision.OutcomeIsReportedWhenNoAttemptsAreLeft")
{
    AttemptFailure failure = retryable();
    failure.sends = 2;
    CHECK(decideAfterFailure(failure) == NextStep::RefuseNotRun);
    failure.mayHaveRun = true;
    failure.mayRunTwice = true;
    CHECK(decideAfterFailure(failure) == NextStep::RespondOutcomeUnknown);
    failure.timedOut = true;
    CHECK(decideAfterFailure(failure) == NextStep::RespondTimeout);
}
