#include <monsoongrade/http/httpserver.h>

#include <monsoongrade/endpoints/curlendpointclient.h>
#include <monsoongrade/endpoints/wholeanswer.h>

#include <asio.hpp>
#include <doctest/doctest.h>

#include <atomic>
#include <future>
#include <thread>

namespace monsoongrade::http {

namespace {

using units::ResultCode;

constexpr std::size_t BodyLimit = 1000;
constexpr std::size_t HeaderLimit = 1000;
constexpr std::size_t HeaderCountLimit = 20;

std::uint16_t freePort()
{
    asio::io_context io;
    asio::ip::tcp::acceptor acceptor(io, {asio::ip::address_v4::loopback(), 0});
    return acceptor.local_endpoint().port();
}

// A server whose handler is the test's, and a client.
struct ServerFixture
{
    explicit ServerFixture(HttpHandler handler)
    {
        settings.port = freePort();
        settings.bodyLimit = BodyLimit;
        settings.headerLimit = HeaderLimit;
        settings.headerCountLimit = HeaderCountLimit;
        server = std::make_unique<HttpServer>(settings, std::move(handler));
    }

    endpoints::WholeAnswer post(const std::string &body, const Headers &headers = {})
    {
        endpoints::EndpointRequest request;
        request.headers = headers;
        request.url = "http://127.0.0.1:" + std::to_string(settings.port) + "/";
        request.body = body;
        return endpoints::callAndWait(client, request);
    }
    // Waits, within a bound, until all answers have left.
    bool becomesIdle() const
    {
        for (int i = 0; i < 500 && server->openAnswers() > 0; ++i)
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        return server->openAnswers() == 0;
    }

    HttpServerSettings settings;
    endpoints::CurlEndpointClient client;
    std::unique_ptr<HttpServer> server;
};

} // namespace

TEST_CASE("HttpServer.BodyOverTheLimitIsRefusedWithItsCode")
{
    std::atomic<int> handled{0};
    ServerFixture fixture([&](const HttpRequest &, const auto &responder) {
        ++handled;
        responder->answer(200, {}, "ok");
    });
    CHECK(fixture.post(std::string(BodyLimit, 'x')).status == 200);
    const auto refused = fixture.post(std::string(BodyLimit + 1, 'x'));
    CHECK(refused.status == 413);
    CHECK(refused.body.find("1002") != std::string::npos);
    CHECK(refused.body.find("did not run") != std::string::npos);
    // Far beyond it the connection is closed; the server goes on.
    CHECK(fixture.post(std::string(BodyLimit * 100, 'x')).status == 0);
    CHECK(fixture.post("small").status == 200);
    CHECK(handled == 2);
}

TEST_CASE("HttpServer.HeadersOverALimitAreRefusedWithTheirCode")
{
    std::atomic<int> handled{0};
    ServerFixture fixture([&](const HttpRequest &, const auto &responder) {
        ++handled;
        responder->answer(200, {}, "ok");
    });
    const auto large = fixture.post("x", {{"x-large", std::string(HeaderLimit, 'v')}});
    CHECK(large.status == 431);
    CHECK(large.body.find("1010 header-too-large") != std::string::npos);
    // The same connection goes on after a refusal.
    CHECK(fixture.post("x").status == 200);
    const auto many = fixture.post("x", Headers(HeaderCountLimit + 1, {"x", "y"}));
    CHECK(many.status == 431);
    CHECK(many.body.find("1010 header-too-large") != std::string::npos);
    // Far beyond the limits the connection is closed; the server goes on.
    CHECK(fixture.post("x", {{"x-large", std::string(HeaderLimit * 3, 'v')}}).status == 0);
    CHECK(fixture.post("x", Headers(HeaderCountLimit * 3, {"x", "y"})).status == 0);
    CHECK(fixture.post("x").status == 200);
    CHECK(handled == 2);
}

// Whoever serves callers wants its own form of refusal, with a request id.
TEST_CASE("HttpServer.RefusalCanBeTheOwners")
{
    ServerFixture fixture([](const HttpRequest &, const auto &) {});
    HttpServerSettings settings = fixture.settings;
    settings.port = freePort();
    settings.refuse = [](const units::Error &error, HttpResponder &responder) {
        responder.answer(418, {}, "own " + std::to_string(static_cast<int>(error.code)));
    };
    fixture.server = std::make_unique<HttpServer>(settings, [](const auto &, const auto &) {});
    fixture.settings.port = settings.port;
    const auto refused = fixture.post(std::string(BodyLimit + 1, 'x'));
    CHECK(refused.status == 418);
    CHECK(refused.body == "own 1002");
}

// The engine broke off in the middle of a chunked answer that is no event stream. Only a broken
// connection tells the caller; a regular end would make the half look whole.
TEST_CASE("HttpServer.AbortedAnswerEndsInAnErrorForTheCaller")
{
    ServerFixture fixture([](const HttpRequest &, const auto &responder) {
        responder->begin(200, {{"Content-Type", "text/plain"}});
        responder->write("half", [responder](std::size_t) { responder->abort(); });
    });
    const auto answer = fixture.post("x");
    CHECK(answer.status == 200);
    CHECK(answer.body == "half");
    CHECK(answer.end.code == ResultCode::EndpointBrokeInAnswer);
    CHECK(fixture.becomesIdle());
}

// The router stops as planned while a caller reads slowly. The flow has ended, but megabytes wait
// in the server; an exit now would cut them off.
TEST_CASE("HttpServer.AnswerIsOpenUntilItsLastByteHasLeft")
{
    const std::string large(16 * 1024 * 1024, 'y');
    ServerFixture fixture(
        [&](const HttpRequest &, const auto &responder) { responder->answer(200, {}, large); });
    asio::io_context io;
    asio::ip::tcp::socket caller(io);
    caller.connect({asio::ip::address_v4::loopback(), fixture.settings.port});
    asio::write(caller, asio::buffer(std::string("GET / HTTP/1.1\r\nHost: a\r\n\r\n")));
    std::string first(1, ' ');
    asio::read(caller, asio::buffer(first));
    // Each of these lets the server's one thread finish what it had begun before.
    for (int i = 0; i < 20; ++i) {
        CHECK(fixture.post("x").status == 200);
        CHECK(fixture.server->openAnswers() >= 1);
    }
    std::string rest(large.size(), ' ');
    asio::read(caller, asio::buffer(rest));
    CHECK(fixture.becomesIdle());
}

TEST_CASE("HttpServer.CallerThatLeavesIsNoticed")
{
    std::promise<void> gone;
    std::shared_ptr<HttpResponder> open;
    ServerFixture fixture([&](const HttpRequest &, const auto &responder) {
        open = responder;
        responder->onGone([&gone] { gone.set_value(); });
    });
    {
        asio::io_context io;
        asio::ip::tcp::socket caller(io);
        caller.connect({asio::ip::address_v4::loopback(), fixture.settings.port});
        asio::write(caller, asio::buffer(std::string("GET / HTTP/1.1\r\nHost: a\r\n\r\n")));
        for (int i = 0; i < 500 && fixture.server->openAnswers() == 0; ++i)
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    CHECK(gone.get_future().wait_for(std::chrono::seconds(5)) == std::future_status::ready);
    CHECK(fixture.becomesIdle());
    // No responder may outlive its server.
    open.reset();
}

} // namespace monsoongrade::http
