#include <monsoongrade/endpoints/curlendpointclient.h>

#include <endpoints/scriptedserver.h>
#include <malformedheaderlines.h>

#include <monsoongrade/endpoints/wholeanswer.h>

#include <doctest/doctest.h>

namespace monsoongrade::endpoints {

namespace {

using units::ResultCode;
using namespace std::string_literals;

// A call that must not be repeated, to an endpoint that sends this text and closes.
WholeAnswer answerTo(const std::string &text, ConnectionEnd end = ConnectionEnd::Close)
{
    ScriptedServer server({{text}}, end);
    if (end == ConnectionEnd::ResetAfterLastText)
        server.keepOpenFor(std::chrono::milliseconds(5)); // the client reads the text before
    CurlEndpointClient client;
    EndpointRequest request;
    request.url = server.url("/");
    request.freshConnection = true;
    WholeAnswer answer = callAndWait(client, request);
    CHECK(server.requests() == 1);
    return answer;
}

void checkBrokeBeforeAnswer(const WholeAnswer &answer)
{
    CHECK(answer.end.code == ResultCode::EndpointBrokeBeforeAnswer);
    CHECK(answer.end.requestSent);
    CHECK(answer.status == 0);
    CHECK(answer.headers.empty());
    CHECK(answer.body.empty());
}

} // namespace

// Guards against a malformed line that is passed on, or that changes where the body ends.
TEST_CASE("MalformedAnswers.LineThatIsNoHeaderEndsInAnError")
{
    const std::string start = "HTTP/1.1 200 OK\r\n";
    for (const std::string &line : tests::malformedFirstLines()) {
        CAPTURE(line);
        checkBrokeBeforeAnswer(answerTo(start + line + "\r\n\r\nwhole"));
        checkBrokeBeforeAnswer(answerTo("HTTP/1.1 103 Early Hints\r\n" + line + "\r\n\r\n" + start
                                        + "Content-Length: 5\r\n\r\nwhole"));
    }
    std::vector<std::string> lines = tests::malformedHeaderLines();
    lines.insert(lines.end(), {"X-Y: a\x01z", "X-Y: a\x7fz", "X-Y: a\0z"s, "X-Y: a\rz"});
    for (const std::string &line : lines) {
        CAPTURE(line);
        checkBrokeBeforeAnswer(answerTo(start + "X-A: 1\r\n" + line + "\r\nX-C: 1\r\n\r\nwhole"));
    }
}

// Guards against bytes after the last chunk that are no trailer but end the answer as whole.
TEST_CASE("MalformedAnswers.MalformedTrailerEndsInAnError")
{
    for (const std::string &line : tests::malformedFirstLines()) {
        CAPTURE(line);
        const WholeAnswer answer
            = answerTo("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n"
                       + line + "\r\n\r\n");
        CHECK(answer.end.code == ResultCode::EndpointBrokeInAnswer);
        CHECK(answer.headers == Headers{{"transfer-encoding", "chunked"}});
    }
}

// Guards against bytes that are no answer and become the caller's.
TEST_CASE("MalformedAnswers.StatusLineThatIsNoneEndsInAnError")
{
    for (const std::string line :
         {"HTTP/1.1 000", "HTTP/1.1 099", "HTTP/1.1 20", "HTTP/1.1 0200", "HTTP/1.1 2000",
          "HTTP/1.1 2xx", "HTTP/1.1 600", "HTTP/1.1 999", "HTTP/1.1  200", "HTTP/1.12 200",
          "HTTP/0.9 200", "HTTP/2 200", "HTTP/9.9 200", "HTTX/1.1 200", "http/1.1 200", "200"}) {
        CAPTURE(line);
        checkBrokeBeforeAnswer(answerTo(line + " OK\r\nContent-Length: 5\r\n\r\nwhole"));
        checkBrokeBeforeAnswer(answerTo("HTTP/1.1 103 Early Hints\r\n\r\n" + line
                                        + " OK\r\nContent-Length: 5\r\n\r\nwhole"));
    }
}

// Guards against a success with an empty body whose head broke off.
TEST_CASE("MalformedAnswers.HeadThatBreaksOffEndsInAnError")
{
    const std::string head = "HTTP/1.1 103 Early Hints\r\nX-A: 1\r\n\r\n"
                             "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-A: 1\r\n\r\n";
    for (const ConnectionEnd end : {ConnectionEnd::Close, ConnectionEnd::ResetAfterLastText}) {
        for (std::size_t cut = 0; cut < head.size(); ++cut) {
            CAPTURE(cut);
            CAPTURE((end == ConnectionEnd::Close));
            checkBrokeBeforeAnswer(answerTo(head.substr(0, cut), end));
        }
    }
}

// Guards against a change of protocol that the client did not ask for and takes for an answer.
TEST_CASE("MalformedAnswers.ChangeOfProtocolEndsInAnError")
{
    for (const std::string body : {"", "whole"})
        checkBrokeBeforeAnswer(answerTo("HTTP/1.1 101 Switching Protocols\r\n\r\n" + body));
}

// Guards against a part of a body that is whole to the caller after a reset during the request.
TEST_CASE("MalformedAnswers.ResetDuringAnUploadEndsInAnError")
{
    constexpr std::size_t UploadBytes = 32'000'000; // more than the kernel buffers
    for (const auto delay : {0, 5, 30, 200}) {
        CAPTURE(delay);
        ScriptedServer server({{"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf of it"}},
                              ConnectionEnd::ResetAfterLastText);
        server.keepOpenFor(std::chrono::milliseconds(delay));
        CurlEndpointClient client;
        EndpointRequest request;
        request.url = server.url("/");
        request.freshConnection = true;
        request.body = std::string(UploadBytes, 'u');
        const WholeAnswer answer = callAndWait(client, request);
        CHECK(server.requests() == 1);
        CHECK(answer.end.code != ResultCode::Ok);
        CHECK(answer.end.requestSent);
    }
}

// Guards against refusing answers with unusual but well-formed headers.
TEST_CASE("MalformedAnswers.WellFormedHeadersArePassedOn")
{
    struct Line
    {
        std::string sent;
        Header header;
    };
    const std::vector<Line> lines{{"x!#$%&'*+-.^_`|~09azaz: v", {"x!#$%&'*+-.^_`|~09azaz", "v"}},
                                  {"X-Empty:", {"x-empty", ""}},
                                  {"X-Blanks:  a b\tc : d", {"x-blanks", "a b\tc : d"}},
                                  {"X-High: \xc3\xa4\xff", {"x-high", "\xc3\xa4\xff"}},
                                  {"X-Colon::", {"x-colon", ":"}},
                                  {"X-Folded: a\r\n \t b: c", {"x-folded", "a b: c"}},
                                  {"X-Folded:\r\n b", {"x-folded", "b"}}};
    for (const Line &line : lines) {
        CAPTURE(line.sent);
        const std::string interim = "HTTP/1.1 103 Early Hints\r\n" + line.sent + "\r\n\r\n";
        for (const std::string start : {"HTTP/1.1 200 OK", "HTTP/1.0 200", "HTTP/1.1 599 "}) {
            const WholeAnswer answer
                = answerTo(interim + interim + start + "\r\n" + line.sent + "\r\n\r\nwhole");
            CHECK(answer.end.code == ResultCode::Ok);
            CHECK(answer.headers == Headers{line.header});
            CHECK(answer.body == "whole");
        }
    }
    const WholeAnswer trailer
        = answerTo("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n"
                   "X-Trailer: v\r\n\r\n");
    CHECK(trailer.end.code == ResultCode::Ok);
    CHECK(trailer.headers == Headers{{"transfer-encoding", "chunked"}});
}

} // namespace monsoongrade::endpoints
