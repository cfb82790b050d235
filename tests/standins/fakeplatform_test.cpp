#include "recordingresponder.h"

#include <monsoongrade/standins/fakeplatform.h>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace monsoongrade;
using nlohmann::json;
using standins::FakePlatform;

namespace {

using Answer = std::shared_ptr<RecordingResponder>;

Answer call(FakePlatform &platform, const std::string &method, const std::string &path,
            const std::string &body = {}, const http::Headers &headers = {},
            const std::string &query = {})
{
    auto responder = std::make_shared<RecordingResponder>();
    platform.handle({method, path, query, headers, body, {}}, responder);
    return responder;
}

json bodyOf(const Answer &answer)
{
    return json::parse(answer->body());
}

void set(FakePlatform &platform, const json &switches)
{
    REQUIRE(call(platform, "PUT", "/admin/switches", switches.dump())->status() == 200);
}

} // namespace

TEST_CASE("FakePlatform.UpdatesOnConditionOnly")
{
    FakePlatform platform;
    const std::string path = "/v1/objects/a";
    CHECK(call(platform, "PUT", path, "1", {{"if-none-match", "*"}})->status() == 200);
    CHECK(call(platform, "PUT", path, "2", {{"if-none-match", "*"}})->status() == 409);
    const std::string version = bodyOf(call(platform, "GET", path))["version"].dump();
    CHECK(call(platform, "PUT", path, "2", {{"if-match", version}})->status() == 200);
    CHECK(call(platform, "PUT", path, "3", {{"if-match", version}})->status() == 412);
    CHECK(call(platform, "DELETE", path, {}, {{"if-match", version}})->status() == 412);
    CHECK(bodyOf(call(platform, "GET", path))["value"] == "2");
}

TEST_CASE("FakePlatform.LosesAReplyButNotTheEffect")
{
    FakePlatform platform;
    set(platform, {{"lose_replies", 1}});
    const Answer lost = call(platform, "PUT", "/v1/objects/a", "1");
    REQUIRE(lost->waitForEnd());
    CHECK(lost->aborted());
    CHECK(bodyOf(call(platform, "GET", "/v1/objects/a"))["value"] == "1");
}

TEST_CASE("FakePlatform.AnswersStaleReadsWithWhatWasThereBefore")
{
    FakePlatform platform;
    call(platform, "PUT", "/v1/objects/a", "old");
    call(platform, "PUT", "/v1/objects/a", "new");
    set(platform, {{"stale_reads", 1}});
    CHECK(bodyOf(call(platform, "GET", "/v1/objects/a"))["value"] == "old");
    CHECK(bodyOf(call(platform, "GET", "/v1/objects/a"))["value"] == "new");
}

TEST_CASE("FakePlatform.AnOutageDropsWatches")
{
    FakePlatform platform;
    const Answer watch = call(platform, "GET", "/v1/watch/a", {}, {}, "above=0&wait_ms=60000");
    CHECK_FALSE(watch->hasEnded());
    set(platform, {{"outage", true}});
    REQUIRE(watch->waitForEnd());
    CHECK(watch->status() == 503);
    CHECK(call(platform, "GET", "/v1/hosts")->status() == 503);
}

TEST_CASE("FakePlatform.WatchesEndWithTheChange")
{
    FakePlatform platform;
    const Answer watch = call(platform, "GET", "/v1/watch/a", {}, {}, "above=0&wait_ms=60000");
    call(platform, "PUT", "/v1/objects/a", "1");
    REQUIRE(watch->waitForEnd());
    CHECK(bodyOf(watch)["value"] == "1");
}

TEST_CASE("FakePlatform.HostListLags")
{
    FakePlatform platform;
    const json first{{"hosts", json::array({{{"name", "a"}}})}};
    const json second{{"hosts", json::array({{{"name", "b"}}})}};
    set(platform, {{"list_lag_ms", 3600000}});
    call(platform, "PUT", "/admin/hosts", first.dump());
    call(platform, "PUT", "/admin/hosts", second.dump());
    CHECK(bodyOf(call(platform, "GET", "/v1/hosts")) == first);
    set(platform, {{"list_lag_ms", 0}});
    CHECK(bodyOf(call(platform, "GET", "/v1/hosts")) == second);
}

TEST_CASE("FakePlatform.CountsCallsByKind")
{
    FakePlatform platform;
    call(platform, "PUT", "/v1/objects/a", "1");
    call(platform, "GET", "/v1/objects/a");
    call(platform, "GET", "/v1/hosts");
    const json calls = bodyOf(call(platform, "GET", "/admin/calls"));
    CHECK(calls["write"] == 1);
    CHECK(calls["read"] == 2);
    CHECK(calls["peak_per_second"]["write"] == 1);
}
