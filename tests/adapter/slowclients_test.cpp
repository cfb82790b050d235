#include "faultfixture.h"

#include <doctest/doctest.h>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

using namespace monsoongrade;
using namespace monsoongrade::platform;
using standins::RawConnection;
using standins::RawPeer;
using std::chrono::milliseconds;

namespace {

// A client that reads as many bytes at a time as the test asks for. Its kernel holds few bytes.
class PacedClient
{
public:
    PacedClient(asio::io_context &io, const std::string &address)
        : socket_(io, asio::ip::tcp::v4())
    {
        constexpr int EthernetSegmentBytes = 1460;
        socket_.set_option(asio::socket_base::receive_buffer_size(4096));
        // The default on loopback makes the kernel of the gateway hold megabytes.
        setsockopt(socket_.native_handle(), IPPROTO_TCP, TCP_MAXSEG, &EthernetSegmentBytes,
                   sizeof(EthernetSegmentBytes));
        socket_.connect(*httpio::parseAddress(address));
    }
    void send(const std::string &text) { asio::write(socket_, asio::buffer(text)); }
    // Reads at most so many bytes without waiting.
    void readSome(std::size_t bytes)
    {
        std::string part(bytes, '\0');
        socket_.non_blocking(true);
        asio::error_code error;
        const std::size_t count = socket_.read_some(asio::buffer(part), error);
        received_.append(part, 0, count);
        isClosed_ = isClosed_ || (error && error != asio::error::would_block);
    }
    bool isClosed() const { return isClosed_; }
    std::size_t bodyBytes() const
    {
        const std::size_t end = received_.find("\r\n\r\n");
        return end == std::string::npos ? 0 : received_.size() - end - 4;
    }

private:
    asio::ip::tcp::socket socket_;
    std::string received_;
    bool isClosed_ = false;
};

// A gateway before a worker whose responses have so many bytes.
struct LongResponses : FaultFixture
{
    LongResponses(std::size_t bytes, int idleTimeoutMs)
        : worker(io, [bytes](RawConnection &connection, const std::string &text, int) {
            connection.write(workerResponse(idIn(text), std::string(bytes, 'r')));
        })
    {
        nlohmann::json configuration = operatorConfiguration(2);
        configuration["limits"]["idle_timeout_ms"] = idleTimeoutMs;
        store.put("config", "main", configuration);
        announce("p1", "plain", worker.address());
        settings.metricsPort = 8006;
        serve(1);
    }

    RawPeer worker;
};

} // namespace

// Guards against taking a connection for idle whose client still reads its response.
TEST_CASE("SlowClients.ResponseThatIsReadWithoutAPauseIsNotCutByTheIdleTimeout")
{
    constexpr std::size_t BodyBytes = 250000;
    LongResponses fixture(BodyBytes, 300);
    PacedClient client(fixture.io, fixture.settings.callersAddress);
    client.send(request("GET", "/safe/a", "id1"));
    // Far longer than the idle timeout.
    while (client.bodyBytes() < BodyBytes && !client.isClosed()) {
        fixture.runFor(milliseconds(30));
        client.readSome(5000);
    }
    CHECK(client.bodyBytes() == BodyBytes);
    // The connection is idle now.
    fixture.runFor(milliseconds(600));
    client.readSome(1);
    CHECK(client.isClosed());
}

// Guards against taking a client that pauses for one whose host is gone.
TEST_CASE("SlowClients.PauseInReadingDoesNotCutTheResponse")
{
    constexpr std::size_t BodyBytes = 100000;
    LongResponses fixture(BodyBytes, 15000);
    PacedClient client(fixture.io, fixture.settings.callersAddress);
    client.send(request("GET", "/safe/a", "id1"));
    fixture.runFor(milliseconds(100));
    client.readSome(2000);
    fixture.runFor(milliseconds(4500));
    for (int i = 0; i < 1000 && client.bodyBytes() < BodyBytes && !client.isClosed(); ++i) {
        client.readSome(5000);
        fixture.runFor(milliseconds(5));
    }
    CHECK(client.bodyBytes() == BodyBytes);
}

// Guards against keeping the response of a client that never reads it.
TEST_CASE("SlowClients.ConnectionOfAClientThatNeverReadsIsClosed")
{
    LongResponses fixture(250000, 300);
    PacedClient client(fixture.io, fixture.settings.callersAddress);
    client.send(request("GET", "/safe/a", "id1"));
    fixture.runFor(milliseconds(1000));
    const auto metrics = [&] {
        return fixture.getPage(fixture.settings.ip + ":8006", "/metrics")->received();
    };
    CHECK(metrics().find("monsoongrade_gateway_caller_connections 0") != std::string::npos);
}

namespace {

constexpr std::size_t ManyClients = 100;

// A gateway with little memory before a worker that takes many requests at once and writes its
// responses as fast as the gateway reads them.
struct SmallHost : FaultFixture
{
    using ResponseFor = std::function<std::string(const std::string &id)>;

    SmallHost(const std::string &service, const std::string &path, ResponseFor responseFor)
        : worker(io,
                 [this, responseFor = std::move(responseFor)](RawConnection &connection,
                                                              const std::string &text, int) {
                     unsent_[connection.shared_from_this()] = responseFor(idIn(text));
                 })
    {
        pump();
        nlohmann::json configuration = operatorConfiguration(2);
        for (nlohmann::json &service : configuration["services"])
            service["max_connections"] = 1000;
        configuration["services"][1]["engine"]["slots"] = 2 * ManyClients;
        store.put("config", "main", configuration);
        nlohmann::json entry = standins::workerEntry(service, worker.address());
        entry["slots"] = 2 * ManyClients;
        entry["born"] = 1;
        store.put("servers", "p1", entry);
        settings.memoryMegabytes = 16;
        serve(1);
        for (std::size_t i = 0; i < ManyClients; ++i) {
            clients.push_back(std::make_unique<PacedClient>(io, settings.callersAddress));
            const std::string number = std::to_string(i);
            clients.back()->send(
                request("POST", path, "id" + number, "b",
                        "Model: m\r\nToken-Counts: 9,9\r\nPrompt-Prefix: a" + number + ":9\r\n"));
        }
    }
    // Runs for so long, and returns the most bytes of responses that the gateway has held.
    std::size_t mostHeld(milliseconds time)
    {
        std::size_t most = 0;
        runUntil(
            [&] {
                most = std::max(most, gateway->state().responseBytes->used());
                return false;
            },
            time);
        return most;
    }

    RawPeer worker;
    std::vector<std::unique_ptr<PacedClient>> clients;

private:
    void pump()
    {
        for (auto &[connection, rest] : unsent_) {
            if (!rest.empty() && !connection->isClosedByPeer())
                rest.erase(0, connection->writeSome(rest));
        }
        timers.after(milliseconds(1), [this] { pump(); });
    }

    std::map<std::shared_ptr<RawConnection>, std::string> unsent_;
};

constexpr std::size_t QuarterOfMemory = 4 * 1024 * 1024;

} // namespace

// Guards against holding whole responses for all slow clients at once, which takes a host over its
// memory.
TEST_CASE("SlowClients.ResponsesForManyOfThemFitIntoTheMemoryOfTheHost")
{
    constexpr std::size_t BodyBytes = 250000;
    SmallHost host("plain", "/safe/a", [](const std::string &id) {
        return workerResponse(id, std::string(BodyBytes, 'r'));
    });
    CHECK(host.mostHeld(milliseconds(700)) <= QuarterOfMemory);
    CHECK(host.worker.requests() == ManyClients);
    // They get all of it in the end.
    const auto readAll = [&] {
        std::size_t whole = 0;
        for (const auto &client : host.clients) {
            client->readSome(65536);
            whole += client->bodyBytes() >= BodyBytes ? 1 : 0;
        }
        return whole == ManyClients;
    };
    CHECK(host.runUntil(readAll));
}

// Guards against a faulty worker that sends long errors to many requests at once and ends none.
TEST_CASE("SlowClients.UnfinishedErrorsForManyRequestsFitIntoTheMemoryOfTheHost")
{
    SmallHost host("plain", "/safe/a", [](const std::string &id) {
        return "HTTP/1.1 500 Error\r\nAttempt-Id: " + id + "\r\nResponse-Signature: s." + id
            + "\r\nContent-Length: 250000\r\n\r\n" + std::string(240000, 'r');
    });
    CHECK(host.mostHeld(milliseconds(700)) <= QuarterOfMemory);
    CHECK(host.worker.requests() * std::size_t(240000) > 2 * QuarterOfMemory);
}

// Guards against the same with events of streams.
TEST_CASE("SlowClients.UnfinishedEventsOfManyStreamsFitIntoTheMemoryOfTheHost")
{
    SmallHost host("model", "/stream/a", [](const std::string &id) {
        return streamHead(id) + httpio::encodeChunk("id: 1\ndata: " + std::string(240000, 'r'));
    });
    CHECK(host.mostHeld(milliseconds(700)) <= QuarterOfMemory);
    CHECK(host.worker.requests() * std::size_t(240000) > 2 * QuarterOfMemory);
}
