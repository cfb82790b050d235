#include "recordingresponder.h"

#include <monsoongrade/standins/answertext.h>
#include <monsoongrade/standins/fakeengine.h>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace monsoongrade;
using nlohmann::json;
using standins::FakeEngine;
using standins::FakeEngineSettings;

namespace {

using Answer = std::shared_ptr<RecordingResponder>;

FakeEngineSettings quick()
{
    FakeEngineSettings settings;
    settings.tokensPerSecond = 2000;
    settings.prefillMicrosPerByte = 0;
    return settings;
}

Answer call(FakeEngine &engine, const std::string &method, const std::string &path,
            const std::string &body, const http::Headers &headers = {})
{
    auto responder = std::make_shared<RecordingResponder>();
    engine.handle({method, path, {}, headers, body, {}}, responder);
    return responder;
}

Answer stream(FakeEngine &engine, const std::string &id, int tokens, http::Headers headers = {})
{
    headers.emplace_back("monsoongrade-request-id", id);
    const json body{{"prompt", "p"}, {"stream", true}, {"metadata", {{"answer_tokens", tokens}}}};
    return call(engine, "POST", "/v1/completions", body.dump(), headers);
}

json get(FakeEngine &engine, const std::string &path)
{
    return json::parse(call(engine, "GET", path, {})->body());
}

void set(FakeEngine &engine, const json &switches)
{
    REQUIRE(call(engine, "PUT", "/admin/switches", switches.dump())->status() == 200);
}

// The content of all events.
std::string contentOf(const std::string &events)
{
    std::string content;
    std::size_t at = 0;
    while ((at = events.find("data: {", at)) != std::string::npos) {
        const std::size_t end = events.find('\n', at);
        content += json::parse(events.substr(at + 6, end - at - 6))["choices"][0]["text"];
        at = end;
    }
    return content;
}

std::string tokens(int from, int to)
{
    std::string text;
    for (int i = from; i < to; ++i)
        text += standins::answerToken("p", i);
    return text;
}

} // namespace

TEST_CASE("FakeEngine.StreamsTheAnswerOfItsPrompt")
{
    FakeEngine engine(quick());
    const Answer answer = stream(engine, "r", 5);
    REQUIRE(answer->waitForEnd());
    CHECK(contentOf(answer->body()) == tokens(0, 5));
    CHECK(answer->body().find("[DONE]") != std::string::npos);
    CHECK(get(engine, "/runs")["requests"]["r"]["ended"] == 1);
}

TEST_CASE("FakeEngine.GoesOnAtTheOffsetOnlyWhereItCanResume")
{
    FakeEngineSettings settings = quick();
    settings.canResume = true;
    FakeEngine able(settings);
    const Answer rest = stream(able, "r", 5, {{"resume-offset", "2"}});
    REQUIRE(rest->waitForEnd());
    CHECK(contentOf(rest->body()) == tokens(2, 5));
    CHECK(get(able, "/runs")["requests"]["r"]["resumed"] == 1);
    CHECK(get(able, "/runs")["tokens"] == 3);

    FakeEngine unable(quick());
    const Answer whole = stream(unable, "r", 5, {{"resume-offset", "2"}});
    REQUIRE(whole->waitForEnd());
    CHECK(contentOf(whole->body()) == tokens(0, 5));
}

TEST_CASE("FakeEngine.AnAnswerHasOneHashHoweverItWasMade")
{
    FakeEngineSettings settings = quick();
    settings.canResume = true;
    FakeEngine engine(settings);
    stream(engine, "whole", 5)->waitForEnd();
    stream(engine, "resumed", 5, {{"resume-offset", "2"}})->waitForEnd();
    const json requests = get(engine, "/runs")["requests"];
    CHECK(requests["whole"]["hash"] == requests["resumed"]["hash"]);
}

TEST_CASE("FakeEngine.TakesTheMostUrgentOfThoseThatWait")
{
    FakeEngineSettings settings = quick();
    settings.slots = 1;
    FakeEngine engine(settings);
    set(engine, {{"freeze", true}});
    const Answer first = stream(engine, "first", 1);
    const Answer low = stream(engine, "low", 1000000, {{"priority", "2"}});
    const Answer high = stream(engine, "high", 1, {{"priority", "0"}});
    set(engine, {{"freeze", false}});
    REQUIRE(high->waitForEnd());
    CHECK_FALSE(low->hasEnded());
    low->leave();
    CHECK(get(engine, "/runs")["requests"]["low"]["ended"] == 0);
}

TEST_CASE("FakeEngine.CountsTheTokensOfStreamsThatItsCrashBroke")
{
    FakeEngineSettings settings = quick();
    settings.slots = 1;
    bool told = false;
    settings.onCrash = [&] {
        told = true;
    };
    FakeEngine engine(settings);
    const Answer running = stream(engine, "running", 100000);
    const Answer waiting = stream(engine, "waiting", 1);
    running->waitForBytes();
    set(engine, {{"crash", true}});
    CHECK(told);
    CHECK(running->aborted());
    CHECK(waiting->aborted());
    const json runs = get(engine, "/runs");
    CHECK(runs["tokens"] >= 1);
    CHECK(runs["tokens_ended"] == 0);
    CHECK(runs["requests"]["running"]["broken"] == 1);
    CHECK_FALSE(runs["requests"].contains("waiting"));
}

TEST_CASE("FakeEngine.RefusesAndResetsBeforeWithoutARun")
{
    FakeEngine engine(quick());
    set(engine, {{"refuse", true}});
    CHECK(stream(engine, "refused", 1)->status() == 503);
    set(engine, {{"refuse", false}, {"reset", "before"}, {"reset_next", 1}});
    CHECK(stream(engine, "reset", 1)->aborted());
    CHECK(get(engine, "/runs")["requests"].empty());
    CHECK(stream(engine, "next", 1)->waitForEnd());
    CHECK(get(engine, "/runs")["requests"]["next"]["ended"] == 1);
}

TEST_CASE("FakeEngine.CountsAServiceCallThatItBreaksOffAsRun")
{
    FakeEngine engine(quick());
    set(engine, {{"reset", "after"}});
    const http::Headers headers{{"monsoongrade-request-id", "r"}, {"idempotency-key", "k"}};
    CHECK(call(engine, "POST", "/voucher", "pay", headers)->aborted());
    const json runs = get(engine, "/runs");
    CHECK(runs["requests"]["r"]["begun"] == 1);
    CHECK(runs["keys"]["k"]["begun"] == 1);
}

TEST_CASE("FakeEngine.AnswersEachRunOfAServiceCallDifferently")
{
    FakeEngine engine(quick());
    const std::string first = call(engine, "POST", "/voucher", "pay")->body();
    const std::string second = call(engine, "POST", "/voucher", "pay")->body();
    CHECK(json::parse(first)["echo"] == "pay");
    CHECK(first != second);
}

TEST_CASE("FakeEngine.RemembersABoundedNumberOfRuns")
{
    FakeEngineSettings settings = quick();
    settings.mostRunsKept = 2;
    FakeEngine engine(settings);
    for (const char *id : {"a", "b", "c"})
        stream(engine, id, 1)->waitForEnd();
    const json runs = get(engine, "/runs");
    CHECK(runs["requests"].size() == 2);
    CHECK_FALSE(runs["requests"].contains("a"));
    CHECK(runs["forgotten"] == 1);
    CHECK(runs["runs"] == 3);
}

// The caller's connection closes after the engine stand-in was destroyed, as when a test stops
// the one before the other. The handler must not touch the engine that is gone.
TEST_CASE("FakeEngine.CallerMayLeaveAfterItsEnd")
{
    Answer answer;
    {
        FakeEngine engine(quick());
        answer = stream(engine, "r", 100000);
    }
    answer->leave();
    CHECK_FALSE(answer->hasEnded());
}

TEST_CASE("FakeEngine.RejectsBadBodies")
{
    FakeEngine engine(quick());
    CHECK(call(engine, "POST", "/v1/completions", "[]")->status() == 400);
    CHECK(call(engine, "POST", "/v1/completions", R"({"prompt":7})")->status() == 400);
    CHECK(call(engine, "PUT", "/admin/switches", R"({"slow":"x"})")->status() == 400);
}
