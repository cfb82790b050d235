#include <monsoongrade/endpoints/curlendpointclient.h>

#include <endpoints/scriptedserver.h>

#include <monsoongrade/endpoints/wholeanswer.h>

#include <doctest/doctest.h>

namespace monsoongrade::endpoints {

// A router was paused after it began a call, and what gave it the right to make the call has run
// out. It is asked when the connection stands, the last moment before the first byte.
TEST_CASE("CurlEndpointClient.CallThatMayNotBeSentAnyMoreLeavesNoByte")
{
    ScriptedServer server({{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"}});
    CurlEndpointClient client;
    EndpointRequest request;
    request.url = server.url("/tags");
    request.freshConnection = true;
    int asked = 0;
    request.maySend = [&asked] {
        return ++asked > 1;
    };
    const WholeAnswer denied = callAndWait(client, request);
    CHECK(denied.end.code == units::ResultCode::WaitedTooLong);
    CHECK_FALSE(denied.end.requestSent);
    CHECK(server.requests() == 0);
    CHECK(callAndWait(client, request).status == 200);
    CHECK(asked == 2);
}

} // namespace monsoongrade::endpoints
