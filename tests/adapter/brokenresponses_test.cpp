#include "faultfixture.h"

#include <asio/read_until.hpp>

#include <doctest/doctest.h>

using namespace monsoongrade;
using namespace monsoongrade::platform;
using standins::RawConnection;
using standins::RawPeer;
using std::chrono::milliseconds;

namespace {

const std::string Events = "id: 1\ndata: event 1\n\nid: 2\ndata: event 2\n\n";

// A success without a length, which ends with its connection.
std::string openEndedHead(const std::string &id, const std::string &extraHeaders = {})
{
    return "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nResponse-Signature: s." + id + "\r\n"
        + extraHeaders + "Connection: close\r\n\r\n";
}

// A worker that responds as soon as it has read the head of a request, does not read its body, and
// ends the connection after a while.
class EarlyWorker
{
public:
    enum class Ending { Reset, HalfClose };

    EarlyWorker(GatewayFixture &fixture, Ending ending, milliseconds delay, std::string body)
        : fixture_(fixture)
        , ending_(ending)
        , delay_(delay)
        , body_(std::move(body))
        , acceptor_(fixture.io, asio::ip::tcp::v4())
    {
        // The body of a request fills it, so that the gateway is still sending at the end.
        acceptor_.set_option(asio::socket_base::receive_buffer_size(4096));
        acceptor_.bind({asio::ip::address_v4::loopback(), 0});
        acceptor_.listen();
        accept();
    }
    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }
    int requests() const { return requests_; }

private:
    struct Connection
    {
        explicit Connection(asio::ip::tcp::socket accepted)
            : socket(std::move(accepted))
        {
        }
        asio::ip::tcp::socket socket;
        std::string received;
    };

    void accept()
    {
        acceptor_.async_accept([this](const asio::error_code &error, asio::ip::tcp::socket socket) {
            if (error)
                return;
            readHead(std::make_shared<Connection>(std::move(socket)));
            accept();
        });
    }
    void readHead(const std::shared_ptr<Connection> &connection)
    {
        asio::async_read_until(connection->socket, asio::dynamic_buffer(connection->received),
                               "\r\n\r\n",
                               [this, connection](const asio::error_code &error, std::size_t) {
                                   if (!error)
                                       respond(connection);
                               });
    }
    void respond(const std::shared_ptr<Connection> &connection)
    {
        ++requests_;
        const std::string id = idIn(connection->received);
        asio::error_code ignored; // the gateway may have closed
        asio::write(connection->socket, asio::buffer(openEndedHead(id) + body_), ignored);
        fixture_.timers.after(delay_, [this, connection] { end(connection); });
    }
    void end(const std::shared_ptr<Connection> &connection)
    {
        asio::error_code ignored;
        if (ending_ == Ending::Reset) {
            connection->socket.set_option(asio::socket_base::linger(true, 0), ignored);
            connection->socket.close(ignored);
            return;
        }
        connection->socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
        discard(connection);
    }
    void discard(const std::shared_ptr<Connection> &connection)
    {
        connection->received.resize(4096);
        connection->socket.async_read_some(
            asio::buffer(connection->received),
            [this, connection](const asio::error_code &error, std::size_t) {
                if (!error)
                    discard(connection);
            });
    }

    GatewayFixture &fixture_;
    Ending ending_;
    milliseconds delay_;
    std::string body_;
    asio::ip::tcp::acceptor acceptor_;
    int requests_ = 0;
};

// A gateway that takes long bodies, and an early worker of the pool behind the path.
struct UploadFixture : FaultFixture
{
    UploadFixture(const std::string &service, EarlyWorker::Ending ending, milliseconds delay,
                  const std::string &body)
        : worker(*this, ending, delay, body)
    {
        nlohmann::json configuration = operatorConfiguration(2);
        configuration["limits"]["max_body_bytes"] = 4000000;
        store.put("config", "main", configuration);
        announce("w1", service, worker.address());
        serve(1);
    }
    std::shared_ptr<RawClient> upload(const std::string &path, const std::string &extraHeaders)
    {
        constexpr std::size_t PartBytes = 50000;
        constexpr int Parts = 40;
        auto client = connect();
        std::string head = request("POST", path, "id1", "", extraHeaders);
        const std::string noLength = "Content-Length: 0";
        head.replace(head.find(noLength), noLength.size(),
                     "Content-Length: " + std::to_string(PartBytes * Parts));
        client->send(head);
        for (int i = 0; i < Parts; ++i) {
            client->send(std::string(PartBytes, 'u'));
            runFor(milliseconds(1));
        }
        runUntil([&] { return client->isComplete() || client->isClosed(); });
        return client;
    }

    EarlyWorker worker;
};

} // namespace

// Guards against a part of a body that the client gets as whole after the worker reset the
// connection while the request was being sent: the kernel reports the reset to the sending side.
TEST_CASE("BrokenResponses.ResetDuringAnUploadDoesNotCompleteAResponse")
{
    for (const auto delay : {milliseconds(0), milliseconds(30), milliseconds(200)}) {
        for (const std::string path : {"/unsafe/a", "/safe/a"}) {
            CAPTURE(path);
            UploadFixture fixture("plain", EarlyWorker::Ending::Reset, delay, "half of it");
            const auto client = fixture.upload(path, "");
            CHECK(fixture.worker.requests() >= 1);
            CHECK(client->status() == 502);
            CHECK(client->received().find("half of it") == std::string::npos);
        }
    }
}

// Guards against the same in a stream, whose events all arrived whole.
TEST_CASE("BrokenResponses.ResetDuringAnUploadDoesNotCompleteAStream")
{
    UploadFixture fixture("model", EarlyWorker::Ending::Reset, milliseconds(30), Events);
    const auto client = fixture.upload("/stream/a", StreamHeaders);
    CHECK(fixture.worker.requests() == 1);
    CHECK_FALSE((client->status() == 200 && client->isComplete()));
    CHECK(client->isClosed());
}

// Guards against refusing a whole response whose worker reads the rest of the request after it.
TEST_CASE("BrokenResponses.OrderlyEndDuringAnUploadCompletesAResponse")
{
    UploadFixture fixture("plain", EarlyWorker::Ending::HalfClose, milliseconds(30), "all of it");
    const auto client = fixture.upload("/unsafe/a", "");
    CHECK(client->status() == 200);
    CHECK(client->body() == "all of it");
}

// Guards against bytes that are no response and become the client's answer.
TEST_CASE("BrokenResponses.StatusThatIsNoneIsNotForwarded")
{
    for (const std::string status : {"000", "20", "999", "0200"}) {
        for (const std::string path : {"/unsafe/a", "/stream/a", "/resume/a"}) {
            CAPTURE(status + path);
            FaultFixture fixture;
            RawPeer peer(fixture.io, [&](RawConnection &connection, const std::string &text, int) {
                connection.write("HTTP/1.1 " + status + " Trouble\r\nAttempt-Id: " + idIn(text)
                                 + "\r\nResponse-Signature: s\r\nConnection: close\r\n\r\n"
                                 + Events);
                connection.closeGracefully();
            });
            fixture.announce("w1", path == "/unsafe/a" ? "plain" : "model", peer.address());
            fixture.serve(1);
            const auto client = fixture.call(request("POST", path, "id1", "b", StreamHeaders));
            CHECK(peer.requests() >= 1);
            CHECK(client->status() == 502);
            CHECK(client->received().find("event 1") == std::string::npos);
        }
    }
}

// Guards against a response that is framed as whole though its head broke off.
TEST_CASE("BrokenResponses.HeadThatBreaksOffIsNoResponse")
{
    for (const std::string path : {"/unsafe/a", "/stream/a"}) {
        const auto responseTo = [](const std::string &id) {
            return "HTTP/1.1 103 Early Hints\r\n\r\n"
                + openEndedHead(id, "Content-Type: text/event-stream\r\nContent-Length: 18\r\n");
        };
        const std::size_t length = responseTo("id000").size();
        FaultFixture fixture;
        std::size_t cut = 0;
        bool isReset = false;
        RawPeer peer(fixture.io, [&](RawConnection &connection, const std::string &text, int) {
            connection.write(responseTo(idIn(text)).substr(0, cut));
            if (isReset)
                connection.reset();
            else
                connection.closeGracefully();
        });
        fixture.announce("w1", path == "/unsafe/a" ? "plain" : "model", peer.address());
        fixture.serve(1);
        for (cut = 0; cut < length; ++cut) {
            isReset = cut % 2 == 1;
            const std::string id = std::to_string(100 + cut);
            const auto client = fixture.call(
                request("POST", path, "id" + id, "b",
                        "Model: m\r\nToken-Counts: 9,9\r\nPrompt-Prefix: " + id + ":9\r\n"));
            CAPTURE(cut);
            CHECK(client->status() >= 500);
        }
        CHECK(peer.requests() > 0);
    }
}
