#include <monsoongrade/requests/retrypolicy.h>

#include <doctest/doctest.h>

namespace monsoongrade::requests {

using configuration::PoolKind;
using configuration::RunRule;
using units::ResultCode;

TEST_CASE("RetryPolicy.AtMostOnceIsNotRepeatedOnceBytesHaveLeft")
{
    AttemptResult attempt;
    attempt.end.code = ResultCode::EndpointBrokeBeforeAnswer;
    attempt.end.requestSent = true;
    CHECK(decideNextStep(attempt, RunRule::AtMostOnce, PoolKind::Service) == NextStep::FailUnknown);
}

TEST_CASE("RetryPolicy.AtMostOnceMayGoElsewhereWhileNoByteHasLeft")
{
    AttemptResult attempt;
    attempt.end.code = ResultCode::EndpointUnreachable;
    attempt.end.requestSent = false;
    CHECK(decideNextStep(attempt, RunRule::AtMostOnce, PoolKind::Service)
          == NextStep::TryElsewhere);
}

TEST_CASE("RetryPolicy.ServicesStatusProvesNothing")
{
    AttemptResult attempt;
    attempt.status = 503;
    CHECK_FALSE(refusedBeforeRunning(attempt, PoolKind::Service));
    CHECK(refusedBeforeRunning(attempt, PoolKind::Engine));
}

TEST_CASE("RetryPolicy.BrokenStreamEndsAsPartial")
{
    AttemptResult attempt;
    attempt.status = 200;
    attempt.answerStarted = true;
    attempt.truncated = true;
    CHECK(decideNextStep(attempt, RunRule::Idempotent, PoolKind::Engine) == NextStep::FailPartial);
}

} // namespace monsoongrade::requests
