#include "cannedclient.h"

#include <monsoongrade/platform/httpplatform.h>

#include <doctest/doctest.h>

namespace monsoongrade::platform {

using units::ResultCode;

namespace {

template <typename Call>
ResultCode codeOf(Call call)
{
    return units::capture(call).error.code;
}

} // namespace

TEST_CASE("HttpPlatform.MalformedAnswersAreNumberedErrors")
{
    for (
        const char *body :
        {"", "{", "null", "7", "[]", "{}", R"({"name":1,"version":1,"value":"x"})",
         R"({"name":"a","version":-1,"value":"x"})", R"({"name":"a","version":1.5,"value":"x"})",
         R"({"name":"a","version":"1","value":"x"})", R"({"name":"a","version":1,"value":{}})",
         "{\"name\":\"a\",\"version\":1,\"value\":\"\xff\xfe\"}", R"({"hosts":7})",
         R"({"hosts":[7]})", R"({"hosts":[{"name":"h"}]})",
         R"({"hosts":[{"name":"h","address":"a","failure_domain":"d","role":"x","state":"live"}]})",
         R"({"hosts":[{"name":"h","address":"a","failure_domain":"d","role":"entry","state":"x"}]})",
         R"({"objects":{"a":7}})"}) {
        CannedClient client;
        client.body = body;
        HttpPlatform platform(client, "http://127.33.0.1:1");
        CAPTURE(body);
        const auto expected = ResultCode::PlatformAnswerMalformed;
        CHECK(codeOf([&] { return platform.get("a"); }) == expected);
        CHECK(codeOf([&] { return platform.hosts(); }) == expected);
        CHECK(codeOf([&] { return platform.list("a"); }) == expected);
        CHECK(
            codeOf([&] { return platform.waitForChange("a", ObjectVersion(), units::Duration()); })
            == expected);
    }
}

TEST_CASE("HttpPlatform.EndlessAnswerIsCutOffAndIsAnError")
{
    // The daemon would run out of its memory while it reads one answer.
    CannedClient client;
    client.body = std::string(1024 * 1024, '[');
    client.repeats = 40;
    HttpPlatform platform(client, "http://127.33.0.1:1");
    CHECK(codeOf([&] { return platform.hosts(); }) == ResultCode::PlatformAnswerMalformed);
    CHECK(client.cancelled == 1);
}

TEST_CASE("HttpPlatform.StatusesAreNumberedErrors")
{
    const std::pair<int, ResultCode> expected[]
        = {{404, ResultCode::ObjectNotFound},      {409, ResultCode::ObjectAlreadyExists},
           {412, ResultCode::VersionConflict},     {413, ResultCode::PlatformUnavailable},
           {500, ResultCode::PlatformUnavailable}, {503, ResultCode::PlatformUnavailable}};
    for (const auto &expectation : expected) {
        CannedClient client;
        client.status = expectation.first;
        HttpPlatform platform(client, "http://127.33.0.1:1");
        CAPTURE(expectation.first);
        CHECK(codeOf([&] { return platform.createIfAbsent("a", "x"); }) == expectation.second);
    }
}

TEST_CASE("HttpPlatform.ConditionalRemovalNamesItsVersion")
{
    CannedClient client;
    HttpPlatform platform(client, "http://127.33.0.1:1");
    CHECK(platform.removeIfVersion("a", ObjectVersion(7)));
    CHECK(client.last.method == "DELETE");
    REQUIRE(client.last.headers.size() == 1);
    CHECK(client.last.headers[0] == endpoints::Header("If-Match", "7"));
    client.status = 412;
    CHECK(codeOf([&]() -> units::Result<bool> {
              BOOST_LEAF_CHECK(platform.removeIfVersion("a", ObjectVersion(7)));
              return true;
          })
          == ResultCode::VersionConflict);
}

} // namespace monsoongrade::platform
