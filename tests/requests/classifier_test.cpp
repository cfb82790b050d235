#include <monsoongrade/requests/classifier.h>

#include <monsoongrade/configuration/configurationparser.h>

#include <mutation.h>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>

namespace monsoongrade::requests {

namespace {

using units::ResultCode;

std::shared_ptr<const configuration::Configuration> configurationOf(const std::string &text)
{
    const auto parsed = configuration::parseConfiguration({{"a.yaml", text}});
    REQUIRE(parsed.isValid());
    return std::make_shared<const configuration::Configuration>(parsed.configuration);
}

const char *const Configuration = R"(
classes: [{name: quick}, {name: slow, tier: 1}]
workspaces: [{name: shop, keys: [secret], default-class: slow}]
pools:
  - {name: engines, models: [m], honours-priority: true}
  - {name: desk, kind: service}
rules:
  - {match: {path: /v1/, header: x-work, value: quick}, class: quick}
  - {match: {path: /tags/}, pool: desk}
  - {match: {path: /read/, method: GET}, pool: desk, run: idempotent}
  - {match: {path: /print/}, pool: desk, run: at-most-once}
)";

http::HttpRequest chat(const std::string &body, http::Headers headers = {})
{
    http::HttpRequest request;
    request.method = "POST";
    request.path = "/v1/chat/completions";
    request.body = body;
    request.headers = std::move(headers);
    request.headers.emplace_back("authorization", "Bearer secret");
    return request;
}

units::Outcome<ClassifiedRequest> outcomeOf(const http::HttpRequest &request)
{
    return units::capture(
        [&] { return classify(request, units::RequestId("r"), configurationOf(Configuration)); });
}

} // namespace

TEST_CASE("Classifier.FirstMatchingRuleGivesTheClass")
{
    const auto outcome = outcomeOf(chat(R"({"model":"m"})", {{"x-work", "quick"}}));
    REQUIRE(outcome.value);
    CHECK(outcome.value->classConfig.policy.name == units::ClassName("quick"));
    CHECK(outcome.value->pool.name == units::PoolName("engines"));
}

TEST_CASE("Classifier.WithoutARuleTheWorkspacesDefaultClassHolds")
{
    const auto outcome = outcomeOf(chat(R"({"model":"m","stream":true})"));
    REQUIRE(outcome.value);
    CHECK(outcome.value->classConfig.policy.name == units::ClassName("slow"));
    CHECK(outcome.value->streamed);
}

TEST_CASE("Classifier.ApiKeyIsNotPassedOn")
{
    const auto outcome = outcomeOf(chat(R"({"model":"m"})", {{"x-api-key", "other"}}));
    REQUIRE(outcome.value);
    for (const auto &header : outcome.value->headers)
        CHECK_MESSAGE(header.second.find("secret") == std::string::npos, header.first);
}

// A caller of a lower tier sends the headers that the router itself sets for engines. Passed on,
// its priority stood before the router's own, and the engine let it overtake higher tiers.
TEST_CASE("Classifier.HeadersThatTheRouterSetsAreNotTakenFromCallers")
{
    const auto outcome = outcomeOf(
        chat(R"({"model":"m"})",
             {{"priority", "0"}, {"resume-offset", "3"}, {"monsoongrade-request-id", "another"}}));
    REQUIRE(outcome.value);
    std::map<std::string, std::vector<std::string>> sent;
    for (const auto &[name, value] : outcome.value->headers)
        sent[name].push_back(value);
    CHECK(sent["priority"] == std::vector<std::string>{"1"});
    CHECK(sent["monsoongrade-request-id"] == std::vector<std::string>{"r"});
    CHECK(sent.count("resume-offset") == 0);
}

TEST_CASE("Classifier.TimeoutIsTheCallersOwnWord")
{
    const std::string body = R"({"model":"m"})";
    CHECK_FALSE(outcomeOf(chat(body)).value->timeout);
    const auto told = outcomeOf(chat(body, {{"monsoongrade-timeout", "2.5"}}));
    REQUIRE(told.value);
    CHECK(told.value->timeout == units::Duration(std::chrono::milliseconds(2500)));
    for (const char *wrong : {"0", "-1", "soon", "3s", "nan", "inf", "1e9", " "}) {
        const auto outcome = outcomeOf(chat(body, {{"monsoongrade-timeout", wrong}}));
        CHECK(outcome.error.code == ResultCode::MalformedRequest);
    }
}

TEST_CASE("Classifier.WrongRequestsHaveTheirCodes")
{
    CHECK(outcomeOf(chat("[]")).error.code == ResultCode::MalformedRequest);
    CHECK(outcomeOf(chat(R"({"model":3})")).error.code == ResultCode::MalformedRequest);
    CHECK(outcomeOf(chat(R"({"model":"other"})")).error.code == ResultCode::UnknownModel);
    http::HttpRequest stranger = chat(R"({"model":"m"})");
    stranger.headers = {{"authorization", "Bearer secre"}};
    CHECK(outcomeOf(stranger).error.code == ResultCode::UnknownKey);
    http::HttpRequest elsewhere = chat("");
    elsewhere.path = "/nowhere";
    CHECK(outcomeOf(elsewhere).error.code == ResultCode::NoRouteForRequest);
}

// A rule gave the shelf-tag printer a pool and forgot to say that a tag must not be printed twice.
// Taken for idempotent, a broken call would be repeated and two tags printed.
TEST_CASE("Classifier.ServiceCallsRunAtMostOnceWhereTheRuleSaysNothing")
{
    http::HttpRequest request = chat("");
    const auto runOf = [&](const std::string &path) {
        request.path = path;
        request.method = "GET";
        const auto outcome = outcomeOf(request);
        REQUIRE(outcome.value);
        return outcome.value->run;
    };
    CHECK(runOf("/tags/7") == configuration::RunRule::AtMostOnce);
    CHECK(runOf("/print/7") == configuration::RunRule::AtMostOnce);
    CHECK(runOf("/read/7") == configuration::RunRule::Idempotent);
}

// Whatever bytes a caller sends, it gets a classified request or a numbered refusal, and the
// router goes on.
TEST_CASE("Classifier.AnyBodyIsClassifiedOrRefusedWithACode")
{
    CHECK(rc::check("any body", [] {
        const std::string body = tests::mutated(
            R"({"model":"m","stream":true,"messages":[{"role":"user","content":"hello"}]})");
        const auto outcome = outcomeOf(chat(body));
        RC_ASSERT(outcome.value.has_value() || static_cast<int>(outcome.error.code) / 1000 == 1);
    }));
    CHECK(outcomeOf(chat(std::string(1000000, '['))).error.code == ResultCode::MalformedRequest);
}

} // namespace monsoongrade::requests
