#include <platform/platformheadercodec.h>

#include <doctest/doctest.h>

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
}
