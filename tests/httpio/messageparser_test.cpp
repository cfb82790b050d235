#include <monsoongrade/httpio/messageparser.h>
#include <monsoongrade/httpio/messagewriter.h>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <vector>

using namespace monsoongrade::httpio;

namespace {

struct Recorder : MessageListener
{
    void onHead(MessageHead head) override { heads.push_back(std::move(head)); }
    void onBody(std::string_view bytes) override { body += bytes; }
    void onEnd() override { ++ends; }

    std::vector<MessageHead> heads;
    std::string body;
    int ends = 0;
};

constexpr std::size_t MaxHead = 4096;

void feedAll(MessageParser &parser, std::string_view bytes)
{
    while (!bytes.empty() && !parser.failed())
        bytes.remove_prefix(parser.feed(bytes));
}

bool isRejected(const std::string &request)
{
    Recorder recorder;
    MessageParser parser(MessageKind::Request, MaxHead, recorder);
    feedAll(parser, request);
    return parser.failed() && recorder.ends == 0;
}

} // namespace

TEST_CASE("MessageParser.StopsAtTheEndOfEachMessage")
{
    Recorder recorder;
    MessageParser parser(MessageKind::Request, MaxHead, recorder);
    const std::string first = "POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc";
    const std::string second = "GET /b HTTP/1.1\r\n\r\n";
    CHECK(parser.feed(first + second) == first.size());
    CHECK(recorder.ends == 1);
    CHECK(recorder.body == "abc");
    CHECK(parser.feed(second) == second.size());
    REQUIRE(recorder.heads.size() == 2);
    CHECK(recorder.heads[1].target == "/b");
    CHECK(recorder.heads[1].method == "GET");
}

TEST_CASE("MessageParser.ResultIsIndependentOfHowTheBytesAreSplit")
{
    const std::string text = "POST /a HTTP/1.1\r\nX-One: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
                             "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
    const bool holds = rc::check("any split gives the same message", [&] {
        Recorder recorder;
        MessageParser parser(MessageKind::Request, MaxHead, recorder);
        std::string_view left = text;
        while (!left.empty()) {
            const auto size = *rc::gen::inRange<std::size_t>(1, left.size() + 1);
            feedAll(parser, left.substr(0, size));
            left.remove_prefix(size);
        }
        RC_ASSERT(recorder.ends == 1);
        RC_ASSERT(recorder.body == "abcde");
        RC_ASSERT(*findHeader(recorder.heads.at(0).headers, "x-one") == "1");
    });
    CHECK(holds);
}

TEST_CASE("MessageParser.RejectsRequestsWithAmbiguousFraming")
{
    const std::string begin = "POST /a HTTP/1.1\r\n";
    CHECK(isRejected(begin + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"));
    CHECK(isRejected(begin + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd"));
    CHECK(isRejected(begin + "Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n"));
    CHECK(isRejected(begin + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n"));
    CHECK(isRejected(begin + "Content-Length : 3\r\n\r\nabc"));
    CHECK(isRejected(begin + "Content-Length: +3\r\n\r\nabc"));
}

TEST_CASE("MessageParser.RejectsAHeadOverTheLimit")
{
    Recorder recorder;
    MessageParser parser(MessageKind::Request, MaxHead, recorder);
    feedAll(parser, "GET /a HTTP/1.1\r\nX: " + std::string(MaxHead, 'x'));
    CHECK(parser.failed());
    CHECK(parser.headTooLarge());
}

TEST_CASE("MessageParser.ResponseWithoutLengthEndsAtTheClose")
{
    Recorder recorder;
    MessageParser parser(MessageKind::Response, MaxHead, recorder);
    feedAll(parser, "HTTP/1.1 200 OK\r\n\r\nsome");
    CHECK(recorder.ends == 0);
    REQUIRE(recorder.heads.size() == 1);
    CHECK(recorder.heads[0].endsAtClose);
    CHECK_FALSE(recorder.heads[0].keepAlive);
    CHECK(parser.finishAtClose());
    CHECK(recorder.ends == 1);
}

TEST_CASE("MessageParser.CloseBeforeTheFullLengthDoesNotCompleteAResponse")
{
    Recorder recorder;
    MessageParser parser(MessageKind::Response, MaxHead, recorder);
    feedAll(parser, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nsome");
    CHECK_FALSE(parser.finishAtClose());
    CHECK(recorder.ends == 0);
}

TEST_CASE("MessageParser.InterimResponsesAreSkipped")
{
    Recorder recorder;
    MessageParser parser(MessageKind::Response, MaxHead, recorder);
    feedAll(parser, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    REQUIRE(recorder.heads.size() == 1);
    CHECK(recorder.heads[0].status == 200);
    CHECK(recorder.body == "ok");
    CHECK(recorder.ends == 1);
}

// Guards against bytes that are no response but are skipped, or taken for one.
TEST_CASE("MessageParser.StatusLineIsAVersionAndAStatus")
{
    const std::string rest = " OK\r\nContent-Length: 2\r\n\r\nok";
    for (const std::string start :
         {"HTTP/1.1 000",  "HTTP/1.1 0",    "HTTP/1.1 2",    "HTTP/1.1 20",   "HTTP/1.1 099",
          "HTTP/1.1 0200", "HTTP/1.1 2000", "HTTP/1.1 600",  "HTTP/1.1 999",  "HTTP/1.1  200",
          "HTTP/1.1 -20",  "HTTP/1.1 2x0",  "HTTP/1.1",      "HTTP/1.12 200", "HTTP/1. 200",
          "HTTP/0.9 200",  "HTTP/2.0 200",  "HTTP/2 200",    "HTTP/9.9 200",  "HTTQ/1.1 200",
          "http/1.1 200",  "200",           " HTTP/1.1 200", "HTTP/1.1\t200"}) {
        for (const std::string before : {"", "HTTP/1.1 100 Continue\r\n\r\n",
                                         "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"}) {
            CAPTURE(before + start);
            Recorder recorder;
            MessageParser parser(MessageKind::Response, MaxHead, recorder);
            feedAll(parser, before);
            const std::size_t headsBefore = recorder.heads.size();
            for (const char c : start + rest) {
                if (!parser.failed())
                    parser.feed(std::string_view(&c, 1));
            }
            CHECK(parser.failed());
            CHECK(recorder.heads.size() == headsBefore);
            CHECK(recorder.body.empty());
            CHECK_FALSE(parser.finishAtClose());
        }
    }
    for (const std::string start : {"HTTP/1.1 200", "HTTP/1.0 200", "\r\nHTTP/1.1 503"}) {
        Recorder recorder;
        MessageParser parser(MessageKind::Response, MaxHead, recorder);
        feedAll(parser, "HTTP/1.1 103 Early Hints\r\n\r\n" + start + rest + start + rest);
        CHECK_FALSE(parser.failed());
        CHECK(recorder.ends == 2);
        CHECK(recorder.body == "okok");
    }
}

// Guards against bytes that are no header but are skipped, passed on, or change the framing.
TEST_CASE("MessageParser.NamesInResponsesAreTokens")
{
    const std::string start = "HTTP/1.1 200 OK\r\n";
    const auto isAccepted = [](const std::string &response) {
        Recorder recorder;
        MessageParser parser(MessageKind::Response, MaxHead, recorder);
        for (const char c : response) {
            if (!parser.failed())
                parser.feed(std::string_view(&c, 1));
        }
        return !parser.failed() && recorder.ends == 1;
    };
    const std::string punctuation = "!#$%&'*+-.^_`|~";
    for (int code = 0; code < 256; ++code) {
        const char c = char(code);
        // The colon and the line ends are no part of a name.
        if (c == ':' || c == '\r' || c == '\n')
            continue;
        CAPTURE(code);
        const bool isAllowed = (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z')
            || (c >= 'A' && c <= 'Z') || (c != '\0' && punctuation.find(c) != std::string::npos);
        for (const std::string &name :
             {std::string(1, c) + "X", "X" + std::string(1, c) + "X", "X" + std::string(1, c)}) {
            const std::string line = name + ": v\r\n";
            const std::string end = "Content-Length: 2\r\n\r\nok";
            CHECK(isAccepted(start + line + end) == isAllowed);
            CHECK(isAccepted("HTTP/1.1 103 Early Hints\r\n" + line + "\r\n" + start + end)
                  == isAllowed);
            CHECK(isAccepted(start + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n" + line
                             + "\r\n")
                  == isAllowed);
            // A line that begins with a blank continues the one before.
            const bool isContinuation = name.front() == ' ' || name.front() == '\t';
            CHECK(isAccepted(start + "X-A: a\r\n" + line + end) == (isAllowed || isContinuation));
        }
    }
    CHECK_FALSE(isAccepted(start + ": v\r\nContent-Length: 2\r\n\r\nok"));
    CHECK_FALSE(isAccepted(start + "Content-Length : 2\r\n\r\nok"));
}

// Guards against a log that does not tell why a response was refused.
TEST_CASE("MessageParser.ProblemTellsWhatIsMalformed")
{
    const std::string start = "HTTP/1.1 200 OK\r\n";
    const auto problemOf = [](const std::string &response) {
        Recorder recorder;
        MessageParser parser(MessageKind::Response, MaxHead, recorder);
        feedAll(parser, response);
        CHECK(parser.failed() == !parser.problem().empty());
        return std::string(parser.problem());
    };
    CHECK(problemOf("HTTP/1.1 000 OK\r\n") == "status-line");
    CHECK(problemOf(start + "X Y: v\r\n") == "header-name");
    CHECK(problemOf(start + "X: " + std::string(MaxHead, 'x')) == "head-size");
    CHECK(problemOf(start + "Content-Length: x\r\n") == "HPE_INVALID_CONTENT_LENGTH");
    CHECK(problemOf(start + "Content-Length: 0\r\n\r\n").empty());
}

// Guards against headers that are not understood because of the space around their values.
TEST_CASE("MessageParser.ValuesHaveNoSpaceAroundThem")
{
    Recorder recorder;
    MessageParser parser(MessageKind::Response, MaxHead, recorder);
    feedAll(
        parser,
        "HTTP/1.1 200 OK\r\nX-One:\t a b \t\r\nX-Two: \r\nX-Three:c\r\nContent-Length: 0\r\n\r\n");
    REQUIRE(recorder.heads.size() == 1);
    CHECK(*findHeader(recorder.heads[0].headers, "X-One") == "a b");
    CHECK(findHeader(recorder.heads[0].headers, "X-Two")->empty());
    CHECK(*findHeader(recorder.heads[0].headers, "X-Three") == "c");
}

TEST_CASE("MessageParser.ArbitraryBytesNeverCrash")
{
    const bool holds = rc::check("any bytes are a message, part of one, or rejected", [] {
        for (const MessageKind kind : {MessageKind::Request, MessageKind::Response}) {
            Recorder recorder;
            MessageParser parser(kind, MaxHead, recorder);
            feedAll(parser, *rc::gen::arbitrary<std::string>());
            parser.finishAtClose();
        }
    });
    CHECK(holds);
}

// Guards against a peer that sends bytes without an end, where no body is due.
TEST_CASE("MessageParser.EndlessBytesOutsideABodyAreRejected")
{
    constexpr std::size_t MaxConsumed = 256 * 1024;
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    struct Endless
    {
        std::string start;
        std::string repeated;
    };
    const std::vector<Endless> cases{
        {"", "\r\n"},
        {"", "a"},
        {"HTTP/1.1 200 ", "a"},
        {"HTTP/1.1 200 OK\r\n", "a"},
        {"HTTP/1.1 200 OK\r\nX: ", "a"},
        {"HTTP/1.1 200 OK\r\nX: ", " "},
        {"HTTP/1.1 200 OK\r\nX: a", "\r\n b"},
        {"HTTP/1.1 200 OK\r\n", "X: 1\r\n"},
        {"HTTP/1.1 200 OK\r\n", ":\r\n"},
        {"", "HTTP/1.1 100 Continue\r\n\r\n"},
        {"", "HTTP/1.1 103 Hints\r\nLink: " + std::string(3000, 'x') + "\r\n\r\n"},
        {chunked, "0"},
        {chunked, "1"},
        {chunked + "1;", "x"},
        {chunked + "1\r\na\r\n0\r\n", "X: 1\r\n"},
        {chunked + "0\r\nX: ", "a"}};
    for (const Endless &each : cases) {
        CAPTURE(each.start);
        CAPTURE(each.repeated.substr(0, 40));
        Recorder recorder;
        MessageParser parser(MessageKind::Response, MaxHead, recorder);
        feedAll(parser, each.start);
        std::size_t consumed = 0;
        while (!parser.failed() && consumed <= MaxConsumed) {
            feedAll(parser, each.repeated);
            consumed += each.repeated.size();
        }
        CHECK(parser.failed());
        CHECK(recorder.body.size() <= 1);
    }
}

TEST_CASE("MessageHead.HopByHopHeadersAreNotForwarded")
{
    const Headers headers{
        {"Connection", "close, X-Hop"}, {"X-Hop", "1"}, {"Keep-Alive", "timeout=5"},
        {"Content-Length", "3"},        {"X-End", "2"}, {"TE", "trailers"}};
    CHECK(endToEndHeaders(headers) == Headers{{"X-End", "2"}});
    CHECK(headerListsToken(headers, "connection", "CLOSE"));
    CHECK_FALSE(headerListsToken(headers, "connection", "clos"));
}
