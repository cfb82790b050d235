#include <monsoongrade/endpoints/curlendpointclient.h>

#include <endpoints/scriptedserver.h>

#include <monsoongrade/endpoints/wholeanswer.h>

#include <doctest/doctest.h>

namespace monsoongrade::endpoints {

namespace {

using units::ResultCode;

const std::string Whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

// A POST without a body, so that its head is the whole of it.
EndpointRequest post(const std::string &url, bool freshConnection)
{
    EndpointRequest request;
    request.url = url;
    request.freshConnection = freshConnection;
    return request;
}

} // namespace

// The caller has one shelf tag printed. The endpoint answers a first call and keeps the
// connection; it takes a second call on it and dies before it answers. libcurl takes that for a
// stale connection and sends the call again by itself, so the tag is printed twice. A fresh
// connection is never repeated.
TEST_CASE("CurlEndpointClient.CallThatMustNotBeRepeatedIsSentOnceWhenAKeptConnectionDies")
{
    ScriptedServer server({{Whole, ""}, {""}});
    CurlEndpointClient client;
    CHECK(callAndWait(client, post(server.url("/first"), false)).status == 200);
    CHECK(server.requests() == 1);

    SUBCASE("fresh connection: one send")
    {
        const WholeAnswer answer = callAndWait(client, post(server.url("/tags"), true));
        CHECK(answer.end.code == ResultCode::EndpointBrokeBeforeAnswer);
        CHECK(answer.end.requestSent);
        CHECK_MESSAGE(server.requests() == 2, "sends of the one call: ", server.requests() - 1);
    }
    SUBCASE("kept connection: the library repeats, which is why the fresh one is needed")
    {
        callAndWait(client, post(server.url("/tags"), false));
        CHECK(server.requests() == 3);
    }
}

TEST_CASE("CurlEndpointClient.RequestIsNotSentOnlyWhereNoConnectionWasMade")
{
    std::string url;
    {
        ScriptedServer gone({{Whole}});
        url = gone.url("/");
    }
    CurlEndpointClient client;
    const WholeAnswer answer = callAndWait(client, post(url, true));
    CHECK(answer.end.code == ResultCode::EndpointUnreachable);
    CHECK_FALSE(answer.end.requestSent);
}

// The endpoint takes the connection, and resets it when the request's bytes arrive, before it has
// read any. The router can't know how much was read, so it must not claim that nothing ran.
TEST_CASE("CurlEndpointClient.ResetConnectionCountsAsSent")
{
    ScriptedServer server({{}}, ConnectionEnd::ResetWhenRequestArrives);
    CurlEndpointClient client;
    const WholeAnswer answer = callAndWait(client, post(server.url("/tags"), true));
    CHECK(answer.end.code == ResultCode::EndpointBrokeBeforeAnswer);
    CHECK(answer.end.requestSent);
}

// The endpoint resets the connection as soon as it stands. If the reset is there before the client
// has seen the connection, no byte left and "not sent" is true; if it comes after, bytes may have
// left. Which of the two happens is up to the kernel; code and flag must agree in both.
TEST_CASE("CurlEndpointClient.ResetAtOnceIsNotSentOnlyWhereNoConnectionWasSeen")
{
    constexpr int Calls = 50;
    ScriptedServer server({{}}, ConnectionEnd::ResetAtOnce);
    CurlEndpointClient client;
    for (int call = 0; call < Calls; ++call) {
        const WholeAnswer answer = callAndWait(client, post(server.url("/tags"), true));
        const ResultCode expected = answer.end.requestSent ? ResultCode::EndpointBrokeBeforeAnswer
                                                           : ResultCode::EndpointUnreachable;
        CHECK(answer.end.code == expected);
    }
}

// The endpoint dies within a body whose length it gave, or within a chunk. The caller must not
// get the piece as if it were the whole.
TEST_CASE("CurlEndpointClient.AnswerThatIsCutEndsInAnError")
{
    const std::string cut = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf";
    const std::string cutChunk
        = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n5\r\nab";
    CurlEndpointClient client;
    for (const std::string &text : {cut, cutChunk}) {
        ScriptedServer server({{text}});
        const WholeAnswer answer = callAndWait(client, post(server.url("/"), true));
        CHECK(answer.end.code == ResultCode::EndpointBrokeInAnswer);
        CHECK(answer.status == 200);
    }
}

TEST_CASE("CurlEndpointClient.FieldsOfAnInterimAnswerAreNotPassedOn")
{
    ScriptedServer server({{"HTTP/1.1 100 Continue\r\nx-interim: 1\r\n\r\n" + Whole}});
    CurlEndpointClient client;
    const WholeAnswer answer = callAndWait(client, post(server.url("/"), true));
    CHECK(answer.status == 200);
    CHECK(answer.headers == Headers{{"content-length", "2"}});
}

// The engine freezes within its answer and keeps the connection. The caller must learn of it
// after the pool's silence timeout; libcurl's own limit took an average and let a freeze of
// several seconds pass, so that the caller waited with no word.
TEST_CASE("CurlEndpointClient.SilenceWithinAnAnswerEndsTheCall")
{
    const std::string begun = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf";
    ScriptedServer server({{begun}});
    server.keepOpenFor(std::chrono::seconds(4));
    CurlEndpointClient client;
    EndpointRequest request = post(server.url("/"), true);
    request.silenceTimeout = std::chrono::milliseconds(200);
    const WholeAnswer answer = callAndWait(client, request);
    CHECK(answer.status == 200);
    CHECK(answer.body == "half");
    CHECK(answer.end.code == ResultCode::EndpointSilent);
}

} // namespace monsoongrade::endpoints
