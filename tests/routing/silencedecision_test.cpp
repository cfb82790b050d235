#include <monsoongrade/routing/silencedecision.h>

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace monsoongrade;
using namespace monsoongrade::routing;
using std::chrono::milliseconds;

namespace {

ReplacementResponse arbitraryResponse()
{
    ReplacementResponse response;
    response.hasRequestId = *rc::gen::arbitrary<bool>();
    response.isToRequest = response.hasRequestId && *rc::gen::arbitrary<bool>();
    response.isSuccess = *rc::gen::arbitrary<bool>();
    response.isServerError = !response.isSuccess && *rc::gen::arbitrary<bool>();
    response.isSigned = *rc::gen::arbitrary<bool>();
    response.provenNotRun = *rc::gen::arbitrary<bool>();
    response.isOfOtherEndpoint = *rc::gen::arbitrary<bool>();
    response.mustBeStream = *rc::gen::arbitrary<bool>();
    return response;
}

ReplacementResponse ownResponse()
{
    ReplacementResponse response;
    response.hasRequestId = true;
    response.isToRequest = true;
    return response;
}

} // namespace

// Guards against an endpoint that is given up for a response that the client can't get.
TEST_CASE("SilenceDecision.OnlyAUsableResponseTakesOver")
{
    const bool holds = rc::check("takes over with usable responses only", [] {
        const ReplacementResponse response = arbitraryResponse();
        if (judgeReplacement(response) != ReplacementVerdict::TakesOver)
            return;
        RC_ASSERT(response.isToRequest);
        RC_ASSERT(!response.provenNotRun && !response.isOfOtherEndpoint);
        RC_ASSERT(!response.isServerError);
        RC_ASSERT(!response.isSuccess || response.isSigned);
        RC_ASSERT(!response.mustBeStream || response.isSuccess);
    });
    CHECK(holds);
}

TEST_CASE("SilenceDecision.SignedSuccessTakesOver")
{
    ReplacementResponse response = ownResponse();
    response.isSuccess = true;
    CHECK(judgeReplacement(response) == ReplacementVerdict::Unusable);
    response.isSigned = true;
    CHECK(judgeReplacement(response) == ReplacementVerdict::TakesOver);
    response.mustBeStream = true;
    CHECK(judgeReplacement(response) == ReplacementVerdict::TakesOver);
}

TEST_CASE("SilenceDecision.ClientErrorTakesOverUnlessAStreamIsDue")
{
    ReplacementResponse response = ownResponse();
    CHECK(judgeReplacement(response) == ReplacementVerdict::TakesOver);
    response.mustBeStream = true;
    CHECK(judgeReplacement(response) == ReplacementVerdict::Rejected);
}

TEST_CASE("SilenceDecision.ResponseToAnotherRequestDecidesNothing")
{
    ReplacementResponse response;
    response.isSuccess = true;
    response.isSigned = true;
    CHECK(judgeReplacement(response) == ReplacementVerdict::Unusable);
    response.hasRequestId = true;
    CHECK(judgeReplacement(response) == ReplacementVerdict::OfOtherRequest);
}

// Guards against a silent endpoint that is given up while it is the only one with the request.
TEST_CASE("SilenceDecision.EndpointIsGivenUpOnlyForAReplacement")
{
    const bool holds = rc::check("gives up an endpoint only if another has the request", [] {
        SilentRequest request;
        request.mayBeSentAgain = *rc::gen::arbitrary<bool>();
        request.hasReplacement = *rc::gen::arbitrary<bool>();
        request.runsUnseen = *rc::gen::arbitrary<bool>();
        const SilenceStep step = decideOnSilence(request);
        if (step == SilenceStep::TakeReplacement)
            RC_ASSERT(request.hasReplacement && request.runsUnseen);
        if (step == SilenceStep::ChangeReplacement)
            RC_ASSERT(request.hasReplacement && request.mayBeSentAgain);
        if (step == SilenceStep::SeekReplacement)
            RC_ASSERT(!request.hasReplacement && request.mayBeSentAgain);
    });
    CHECK(holds);
}

TEST_CASE("SilenceDecision.WithoutAnotherSendBothEndpointsKeepTheRequest")
{
    SilentRequest request;
    CHECK(decideOnSilence(request) == SilenceStep::KeepWaiting);
    request.hasReplacement = true;
    CHECK(decideOnSilence(request) == SilenceStep::KeepWaiting);
    request.mayBeSentAgain = true;
    CHECK(decideOnSilence(request) == SilenceStep::ChangeReplacement);
    request.hasReplacement = false;
    CHECK(decideOnSilence(request) == SilenceStep::SeekReplacement);
}

// Guards against two engines that work on one request for long, as neither shows that it does.
TEST_CASE("SilenceDecision.UnseenRunsOnModelsOverlapOnlyBriefly")
{
    Route route;
    route.kind = RouteKind::Idempotent;
    route.targetLatency = milliseconds(1000);
    CHECK(replacementSilenceLimit(route, true) <= milliseconds(200));
    CHECK(replacementSilenceLimit(route, false) == silenceLimit(route, false));
    SilentRequest request;
    request.hasReplacement = true;
    request.runsUnseen = true;
    CHECK(decideOnSilence(request) == SilenceStep::TakeReplacement);
}

TEST_CASE("SilenceDecision.LimitsFollowTheRoute")
{
    Route route;
    route.kind = RouteKind::Idempotent;
    route.targetLatency = milliseconds(100);
    route.maxEventGap = milliseconds(100);
    CHECK(silenceLimit(route, false) == milliseconds(300));
    route.targetLatency = milliseconds(400);
    CHECK(silenceLimit(route, false) == milliseconds(800));
    route.kind = RouteKind::Stream;
    CHECK(silenceLimit(route, false) == milliseconds(1000));
    CHECK(silenceLimit(route, true) == milliseconds(700));
    route.targetLatency = milliseconds(800);
    route.maxEventGap = milliseconds(400);
    CHECK(silenceLimit(route, false) == milliseconds(2000));
    CHECK(silenceLimit(route, true) == milliseconds(1000));
}
