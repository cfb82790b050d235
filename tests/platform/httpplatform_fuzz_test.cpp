#include "cannedclient.h"

#include <monsoongrade/platform/httpplatform.h>

#include <mutation.h>

#include <doctest/doctest.h>
#include <rapidcheck.h>

// The platform's answers are another's: half written, of another version, or no JSON at all. Each
// is read or a numbered error; none may throw through a daemon.

namespace monsoongrade::platform {

namespace {

using units::ResultCode;

template <typename Call>
bool isReadOrMalformed(Call call)
{
    const auto outcome = units::capture(call);
    return outcome.value.has_value() || outcome.error.code == ResultCode::PlatformAnswerMalformed;
}

} // namespace

TEST_CASE("HttpPlatform.AnyAnswerIsReadOrANumberedError")
{
    CHECK(rc::check("any object", [] {
        CannedClient client;
        client.body = tests::mutated(
            R"({"name":"monsoongrade/manifest","version":17,"value":"{\"generation\":3}"})");
        HttpPlatform platform(client, "http://127.33.0.1:1");
        RC_ASSERT(isReadOrMalformed([&] { return platform.get("a"); }));
    }));
    CHECK(rc::check("any list", [] {
        CannedClient client;
        client.body = tests::mutated(
            R"({"objects":[{"name":"a","version":1,"value":"x"},{"name":"b","version":2,"value":""}]})");
        HttpPlatform platform(client, "http://127.33.0.1:1");
        RC_ASSERT(isReadOrMalformed([&] { return platform.list("a"); }));
    }));
    CHECK(rc::check("any hosts", [] {
        CannedClient client;
        client.body = tests::mutated(
            R"({"hosts":[{"name":"h","address":"a","failure_domain":"d","role":"entry","state":"live"}]})");
        HttpPlatform platform(client, "http://127.33.0.1:1");
        RC_ASSERT(isReadOrMalformed([&] { return platform.hosts(); }));
    }));
}

} // namespace monsoongrade::platform
