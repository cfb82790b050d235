#include <requests/flowfixture.h>

#include <doctest/doctest.h>

namespace monsoongrade::requests {

using configuration::RunRule;
using endpoints::FlowControl;
using units::ResultCode;

namespace {

const endpoints::Headers EventStream{{"content-type", "text/event-stream"}};
const endpoints::EndpointEnd Unreachable{ResultCode::EndpointUnreachable, false, ""};
const endpoints::EndpointEnd Broken{ResultCode::EndpointBrokeInAnswer, true, ""};

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

// A caller reads nothing of a fast stream. Without back-pressure the router would keep the whole
// answer in memory; it must stop reading the endpoint instead and go on when the caller does.
TEST_CASE("RequestFlow.SlowReaderHoldsTheEndpointBack")
{
    FlowFixture fixture;
    const auto caller = fixture.start(fixture.request(RunRule::Idempotent));
    fixture.slots.grant(0, "e1");
    auto &call = fixture.client.calls[0];
    call.listener->answerHead(200, EventStream);
    const std::string event = "data: " + std::string(16 * 1024, 'x') + "\n\n";
    int events = 0;
    while (!call.paused && ++events < 1000)
        call.paused = call.listener->answerBody(event) == FlowControl::Pause;
    CHECK(events == 16);
    CHECK(caller->waiting <= 300 * 1024);
    caller->readAll();
    CHECK_FALSE(call.paused);
}

// Many requests fail in an overload. Each is tried again only while the retry budget lasts; the
// others end at once and are told that they did not run.
TEST_CASE("RequestFlow.RetriesAreAShareOfLiveTraffic")
{
    FlowFixture fixture(0.1, 1);
    for (int i = 0; i < 30; ++i) {
        const auto caller = fixture.start(fixture.request(RunRule::Idempotent));
        fixture.slots.grant(fixture.slots.asks.size() - 1, "e1");
        fixture.client.calls.back().listener->answerEnd(Unreachable);
        if (caller->ends == 1) {
            CHECK(contains(caller->body, "retry-budget-spent"));
            CHECK(caller->header("monsoongrade-run-state") == "not-run");
            CHECK_FALSE(caller->header("Retry-After").empty());
        }
    }
    const std::int64_t retries
        = fixture.metrics.counter("monsoongrade_retries_total", "reason=\"endpoint-unreachable\"");
    CHECK_MESSAGE(retries <= 4, "retries of 30 requests: ", retries);
    CHECK(retries >= 3);
}

TEST_CASE("RequestFlow.NoRetryBeyondTheDeadline")
{
    FlowFixture fixture;
    const auto caller = fixture.start(fixture.request(RunRule::Idempotent));
    fixture.slots.grant(0, "e1");
    fixture.clock.advance(std::chrono::seconds(61));
    fixture.client.calls[0].listener->answerEnd(Unreachable);
    CHECK(caller->ends == 1);
    CHECK(fixture.metrics.counter("monsoongrade_retries_denied_total", "reason=\"deadline\"") == 1);
}

TEST_CASE("RequestFlow.RetryAvoidsTheFailedEndpoint")
{
    FlowFixture fixture;
    fixture.start(fixture.request(RunRule::Idempotent));
    fixture.slots.grant(0, "e1");
    fixture.client.calls[0].listener->answerEnd(Unreachable);
    CHECK(fixture.slots.asks.empty());
    fixture.delayer.runAll();
    REQUIRE(fixture.slots.asks.size() == 1);
    CHECK(fixture.slots.asks[0].ask.avoid == std::vector{units::EndpointId("e1")});
}

// Workers are added while an audience waits. The scheduler grants a slot on a new one to a
// request that was classified under the old configuration. Looked up there, the endpoint was
// unknown, and the caller who had waited was refused though a place was free.
TEST_CASE("RequestFlow.EndpointAddedWhileTheRequestWaitedIsCalled")
{
    FlowFixture fixture;
    const auto caller = fixture.start(fixture.request(RunRule::Idempotent));
    fixture.directory.inService.insert("e4");
    fixture.slots.grant(0, "e4");
    CHECK(caller->ends == 0);
    CHECK(fixture.client.calls.size() == 1);
}

// The router has heard that an endpoint leaves; the scheduler, cut off from the news, still grants
// its slots. The endpoint must get no new work, and the caller a slot elsewhere.
TEST_CASE("RequestFlow.GrantOfAnEndpointOutOfServiceIsGivenBackUnused")
{
    FlowFixture fixture;
    const auto caller = fixture.start(fixture.request(RunRule::AtMostOnce));
    fixture.directory.inService.erase("e1");
    fixture.slots.grant(0, "e1");
    CHECK(fixture.client.calls.empty());
    CHECK(fixture.slots.released.size() == 1);
    fixture.delayer.runAll();
    REQUIRE(fixture.slots.asks.size() == 1);
    CHECK(fixture.slots.asks[0].ask.avoid == std::vector{units::EndpointId("e1")});

    SUBCASE("another endpoint takes it")
    {
        fixture.slots.grant(0, "e2");
        CHECK(fixture.client.calls.size() == 1);
        CHECK(caller->ends == 0);
    }
    SUBCASE("the scheduler has no other: refused as not run, and not kept for ever")
    {
        int more = 0;
        while (caller->ends == 0 && ++more < 100) {
            fixture.slots.grant(0, "e1");
            fixture.delayer.runAll();
        }
        CHECK(more == 5);
        CHECK(fixture.client.calls.empty());
        CHECK(caller->header("monsoongrade-run-state") == "not-run");
        CHECK_FALSE(caller->header("Retry-After").empty());
    }
}

// Three engines in a row break before they answer. The caller of a request that may be repeated is
// told when to come back; of one that must not run twice it is not known whether it ran, so no
// time is named at which to send it again.
TEST_CASE("RequestFlow.OnlyWhoMayRepeatABrokenRequestIsToldWhen")
{
    FlowFixture fixture;
    RunRule run = RunRule::Idempotent;
    bool mayRepeat = true;
    SUBCASE("idempotent") { }
    SUBCASE("at most once")
    {
        run = RunRule::AtMostOnce;
        mayRepeat = false;
    }
    const auto caller = fixture.start(fixture.request(run));
    for (int attempt = 0; caller->ends == 0 && attempt < 10; ++attempt) {
        fixture.slots.grant(0, "e" + std::to_string(1 + attempt % 3));
        fixture.client.calls.back().listener->answerEnd(
            {ResultCode::EndpointBrokeBeforeAnswer, true, ""});
        fixture.delayer.runAll();
    }
    CHECK(caller->header("monsoongrade-run-state") == "unknown");
    CHECK(caller->header("Retry-After").empty() != mayRepeat);
}

// A caller says how long it stays. The scheduler must hear it, so that it doesn't begin an answer
// for nobody; but where the class lets the work go on without its caller, nothing is in vain.
TEST_CASE("RequestFlow.CallersTimeoutGoesWithTheAskWhereLeavingCancels")
{
    FlowFixture fixture;
    ClassifiedRequest request = fixture.request(RunRule::Idempotent);
    request.timeout = std::chrono::seconds(3);
    fixture.start(request);
    CHECK(fixture.slots.asks.back().ask.patience == request.timeout);
    request.classConfig.cancelOnDisconnect = false;
    fixture.start(request);
    CHECK_FALSE(fixture.slots.asks.back().ask.patience);
}

// A service answers with the router's own headers, as one that stands behind another router may.
// Passed back, they told the caller that a request which ran had not run.
TEST_CASE("RequestFlow.EndpointsWordOnTheRunStateIsNotPassedBack")
{
    FlowFixture fixture;
    const auto caller = fixture.start(fixture.request(RunRule::AtMostOnce));
    fixture.slots.grant(0, "e1");
    const auto call = fixture.client.calls[0].listener;
    call->answerHead(200, {{"content-length", "2"}, {"monsoongrade-run-state", "not-run"}});
    call->answerBody("ok");
    call->answerEnd({});
    CHECK(caller->body == "ok");
    CHECK(caller->header("monsoongrade-run-state").empty());
    CHECK(caller->header("monsoongrade-request-id") == "r1");
}

// The engine dies after two events. Its pool can resume, so another engine goes on behind them.
// One that starts anew instead would give the caller a mixture of two runs.
TEST_CASE("RequestFlow.BrokenStreamIsResumedBehindWhatTheCallerHas")
{
    FlowFixture fixture;
    const auto caller = fixture.start(fixture.request(RunRule::Idempotent, true));
    fixture.slots.grant(0, "e1");
    const auto first = fixture.client.calls[0].listener;
    first->answerHead(200, EventStream);
    first->answerBody("data: 1\n\ndata: 2\n\nda");
    first->answerEnd(Broken);
    fixture.delayer.runAll();
    fixture.slots.grant(0, "e2");
    REQUIRE(fixture.client.calls.size() == 2);
    const auto &second = fixture.client.calls[1];
    CHECK(second.header("resume-offset") == "2");

    SUBCASE("it goes on")
    {
        auto headers = EventStream;
        headers.emplace_back("resume-offset", "2");
        second.listener->answerHead(200, headers);
        second.listener->answerBody("data: 3\n\ndata: [DONE]\n\n");
        second.listener->answerEnd({});
        CHECK(caller->body == "data: 1\n\ndata: 2\n\ndata: 3\n\ndata: [DONE]\n\n");
    }
    SUBCASE("it starts anew and does not know that it should go on")
    {
        second.listener->answerHead(200, EventStream);
        second.listener->answerBody("data: 1\n\ndata: [DONE]\n\n");
        second.listener->answerEnd({});
        CHECK(caller->body == "data: 1\n\ndata: 2\n\n");
    }
    SUBCASE("it starts anew and says so")
    {
        auto headers = EventStream;
        headers.emplace_back("resume-offset", "0");
        second.listener->answerHead(200, headers);
        second.listener->answerBody("data: 1\n\ndata: [DONE]\n\n");
        second.listener->answerEnd({});
        CHECK(caller->body == "data: 1\n\ndata: 2\n\n");
    }
    CHECK(fixture.slots.released.size() == 2);
}

// A service ends its answer by closing the connection. Had it crashed, the caller would see the
// same: half an answer that looks whole.
TEST_CASE("RequestFlow.AnswerWhoseEndCannotBeKnownIsNotGivenAsWhole")
{
    FlowFixture fixture;
    const auto caller = fixture.start(fixture.request(RunRule::AtMostOnce));
    fixture.slots.grant(0, "e1");
    const auto listener = fixture.client.calls[0].listener;
    listener->answerHead(200, {{"content-type", "text/plain"}});
    listener->answerBody("half");
    listener->answerEnd({});
    CHECK(caller->status == 502);
    CHECK(caller->header("monsoongrade-run-state") == "unknown");
    CHECK(contains(caller->body, "Look at its effect"));
}

TEST_CASE("RequestFlow.CallerThatLeavesCancelsOnlyWhereItsClassSaysSo")
{
    for (const bool cancels : {true, false}) {
        FlowFixture fixture;
        auto request = fixture.request(RunRule::Idempotent);
        request.classConfig.cancelOnDisconnect = cancels;
        const auto caller = fixture.start(request);
        fixture.slots.grant(0, "e1");
        caller->leave();
        CHECK(fixture.client.calls[0].cancelled == cancels);
        CHECK(fixture.open.total() == (cancels ? 0 : 1));
    }
}

} // namespace monsoongrade::requests
