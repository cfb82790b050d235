#include <platform/platformheadercodec.h>

#include <doctest/doctest.h>

#include <algorithm>

using namespace monsoongrade;
using namespace monsoongrade::platform;

namespace {

gateway::EndpointResponseInfo decoded(int status, httpio::Headers headers)
{
    httpio::MessageHead head;
    head.status = status;
    head.headers = std::move(headers);
    return PlatformHeaderCodec().decodeResponse(head);
}

} // namespace

TEST_CASE("PlatformHeaderCodec.EndpointAnnouncesLeavingInAnyResponse")
{
    for (const int status : {200, 421, 500, 503})
        CHECK(decoded(status, {{"server-leaving", "1"}}).isLeaving);
    CHECK_FALSE(decoded(200, {}).isLeaving);
    CHECK_FALSE(decoded(200, {{"Server-Leaving", "0"}}).isLeaving);
    CHECK_FALSE(decoded(200, {{"Server-Leaving", ""}}).isLeaving);
    CHECK_FALSE(decoded(200, {{"Server-Leaving", "0"}}).isLeavingUnreadable);
    for (const char *text : {"soon", "2", "1, 1"}) {
        CHECK_MESSAGE(!decoded(200, {{"Server-Leaving", text}}).isLeaving, text);
        CHECK_MESSAGE(decoded(200, {{"Server-Leaving", text}}).isLeavingUnreadable, text);
    }
}

TEST_CASE("PlatformHeaderCodec.RejectionMayAskForAPause")
{
    CHECK(decoded(503, {{"Retry-After", "3"}}).pause->count() == 3);
    CHECK(decoded(503, {{"Retry-After", "0.25"}}).pause->count() == 0.25);
    CHECK(decoded(429, {{"Retry-After", "0"}}).pause->count() == 0);
    CHECK(decoded(503, {{"Retry-After", "1e300"}}).pause->count() == 1e300);
    CHECK_FALSE(decoded(503, {}).pause.has_value());
    CHECK_FALSE(decoded(200, {{"Retry-After", "3"}}).pause.has_value());
    for (const char *text :
         {"", "-1", "nan", "inf", "soon", "3 s", "Thu, 03 Dec 2026 16:00:00 GMT"}) {
        const gateway::EndpointResponseInfo response = decoded(503, {{"Retry-After", text}});
        CHECK_MESSAGE(!response.pause.has_value(), text);
        CHECK_MESSAGE(response.isPauseUnreadable, text);
    }
}

TEST_CASE("PlatformHeaderCodec.EndpointMayNameTheRejectionsThatItSurvives")
{
    CHECK(decoded(200, {{"server-brittle", "2"}}).maxRejections == 2);
    CHECK(decoded(503, {{"Server-Brittle", "0"}}).maxRejections == 0);
    CHECK_FALSE(decoded(200, {}).maxRejections.has_value());
    for (const char *text : {"", "-1", "nan", "few"}) {
        const gateway::EndpointResponseInfo response = decoded(200, {{"Server-Brittle", text}});
        CHECK_MESSAGE(!response.maxRejections.has_value(), text);
        CHECK_MESSAGE(response.isMaxRejectionsUnreadable, text);
    }
}

// Guards against another host that gives a request more time than its client waits.
TEST_CASE("PlatformHeaderCodec.ForwardedRequestHasTheTimeThatIsLeft")
{
    const httpio::Headers forwarded = PlatformHeaderCodec().forwardedHeaders(
        {{"Authorization", "Bearer k"}, {"deadline-ms", "8000"}, {"Attempt-Id", "id"}},
        std::chrono::milliseconds(1234));
    CHECK(*httpio::findHeader(forwarded, "Authorization") == "Bearer k");
    CHECK(*httpio::findHeader(forwarded, "Attempt-Id") == "id");
    CHECK(*httpio::findHeader(forwarded, "Deadline-Ms") == "1234");
    CHECK(forwarded.size() == 3);
}

// Guards against a client that makes an endpoint fetch memory from an address of its choice, and
// against a source that is lost on the way.
TEST_CASE("PlatformHeaderCodec.OnlyTheGatewayNamesTheSourceOfACopy")
{
    const httpio::Headers client{{"kv-fetch", "9.9.9.9:9"}, {"Attempt-Id", "id"}};
    gateway::EndpointRequest request;
    CHECK(httpio::findHeader(PlatformHeaderCodec().endpointHeaders(client, request), "Kv-Fetch")
          == nullptr);
    request.cacheSource = "10.0.0.1:80";
    const httpio::Headers sent = PlatformHeaderCodec().endpointHeaders(client, request);
    CHECK(*httpio::findHeader(sent, "Kv-Fetch") == "10.0.0.1:80");
    CHECK(std::count_if(
              sent.begin(), sent.end(),
              [](const auto &header) { return httpio::sameHeaderName(header.first, "Kv-Fetch"); })
          == 1);
}
