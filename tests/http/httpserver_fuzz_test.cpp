#include <monsoongrade/http/httpserver.h>

#include <mutation.h>

#include <asio.hpp>
#include <doctest/doctest.h>
#include <rapidcheck.h>

// Whoever connects may send anything: cut short, oversize, of wrong numbers, no HTTP at all. One
// caller's bytes must neither end the server nor come back as another caller's answer.

namespace monsoongrade::http {

namespace {

using Socket = asio::ip::tcp::socket;

const std::string Valid = "POST /v1/chat/completions?a=b HTTP/1.1\r\nHost: a\r\n"
                          "Authorization: Bearer key\r\nContent-Type: application/json\r\n"
                          "Content-Length: 20\r\nX-Other: 1\r\n\r\n{\"model\":\"m\",\"n\":10}";
const std::string Probe = "GET /probe HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";

class FuzzedServer
{
public:
    FuzzedServer()
    {
        asio::ip::tcp::acceptor acceptor(io_, {asio::ip::address_v4::loopback(), 0});
        settings_.port = acceptor.local_endpoint().port();
        acceptor.close();
        settings_.headerLimit = 200;
        settings_.bodyLimit = 100;
        server_ = std::make_unique<HttpServer>(settings_, [](HttpRequest request, auto responder) {
            responder->answer(200, {}, request.path);
        });
    }

    // Sends the bytes, closes this way, and reads all that comes back.
    std::string answerTo(const std::string &bytes)
    {
        Socket socket(io_);
        socket.connect({asio::ip::address_v4::loopback(), settings_.port});
        asio::error_code error;
        asio::write(socket, asio::buffer(bytes), error);
        socket.shutdown(Socket::shutdown_send, error);
        std::string answer;
        asio::read(socket, asio::dynamic_buffer(answer), error);
        return answer;
    }

private:
    asio::io_context io_;
    HttpServerSettings settings_;
    std::unique_ptr<HttpServer> server_;
};

bool isAnswerOrNothing(const std::string &answer)
{
    return answer.empty() || answer.compare(0, 9, "HTTP/1.1 ") == 0;
}

} // namespace

TEST_CASE("HttpServer.AnyBytesAreAnsweredOrClosedAndTheServerGoesOn")
{
    FuzzedServer server;
    CHECK(rc::check("any bytes", [&] {
        const std::string text = tests::mutated(Valid);
        const auto length = *rc::gen::inRange<std::size_t>(0, 2 * text.size());
        const std::string answer = server.answerTo(text.substr(0, length));
        RC_ASSERT(isAnswerOrNothing(answer));
        const std::string good = server.answerTo(Probe);
        RC_ASSERT(good.compare(0, 15, "HTTP/1.1 200 OK") == 0);
        RC_ASSERT(good.substr(good.size() - 6) == "/probe");
    }));
}

TEST_CASE("HttpServer.OversizeOfAnyPartIsAnsweredOrClosed")
{
    FuzzedServer server;
    CHECK(rc::check("any part grown", [&] {
        std::string text = Valid;
        const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
        const auto length = *rc::gen::inRange<std::size_t>(1, 5000);
        const auto byte = static_cast<char>(*rc::gen::inRange(1, 256));
        text.insert(at, length, byte);
        RC_ASSERT(isAnswerOrNothing(server.answerTo(text)));
        RC_ASSERT(server.answerTo(Probe).compare(0, 15, "HTTP/1.1 200 OK") == 0);
    }));
}

} // namespace monsoongrade::http
