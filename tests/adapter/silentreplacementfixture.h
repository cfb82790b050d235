#ifndef MONSOONGRADE_TESTS_ADAPTER_SILENTREPLACEMENTFIXTURE_H
#define MONSOONGRADE_TESTS_ADAPTER_SILENTREPLACEMENTFIXTURE_H

#include "faultfixture.h"

#include <asio/ip/tcp.hpp>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

namespace monsoongrade::platform {

constexpr int Events = 6;
constexpr int EventsBeforeSilence = 3;

inline std::string event(int number)
{
    return "id: " + std::to_string(number) + "\ndata: event " + std::to_string(number) + "\n\n";
}

inline std::string eventsFrom(int first, int last = Events)
{
    std::string chunks;
    for (int number = first; number <= last; ++number)
        chunks += httpio::encodeChunk(event(number));
    return chunks;
}

inline const std::string EndOfChunks = "0\r\n\r\n";

// An endpoint that takes requests, and sends what the test tells it to.
class ScriptedEndpoint
{
public:
    explicit ScriptedEndpoint(asio::io_context &io)
        : peer_(io, [this](standins::RawConnection &connection, const std::string &text, int) {
            connection_ = &connection;
            request_ = text;
        })
    {
    }

    std::string address() const { return peer_.address(); }
    int requests() const { return peer_.requests(); }
    int connections() const { return peer_.connections(); }
    std::string lastEventId() const { return standins::headerIn(request_, "Last-Event-Id"); }
    // Whether the gateway has closed the connection on which the last request came.
    bool isAbandoned() const { return connection_ != nullptr && connection_->isClosedByPeer(); }

    void write(const std::string &bytes) { connection_->write(bytes); }
    void reset() { connection_->reset(); }
    // Begins a stream, and sends the events up to the silence.
    void beginStream() { write(streamHead(idIn(request_)) + eventsFrom(1, EventsBeforeSilence)); }
    // Sends the rest of the stream after the silence.
    void endStream() { write(eventsFrom(EventsBeforeSilence + 1) + EndOfChunks); }
    void sendHead() { write(streamHead(idIn(request_))); }
    void respond(const std::string &body) { write(workerResponse(idIn(request_), body)); }
    void reject()
    {
        write("HTTP/1.1 503 Unavailable\r\nAttempt-Id: " + idIn(request_)
              + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
    }

private:
    standins::RawPeer peer_;
    standins::RawConnection *connection_ = nullptr;
    std::string request_;
};

// A listening socket whose queue is full: connecting to it takes until accept() is called.
class FullListener
{
public:
    explicit FullListener(asio::io_context &io)
        : acceptor_(io)
    {
        const asio::ip::tcp::endpoint any(asio::ip::address_v4::loopback(), 0);
        acceptor_.open(any.protocol());
        acceptor_.bind(any);
        acceptor_.listen(0);
        for (int i = 0; i < 2; ++i) {
            fillers_.emplace_back(io);
            fillers_.back().async_connect(acceptor_.local_endpoint(),
                                          [](const asio::error_code &) {});
        }
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }
    // Accepts for a time, and returns how many of the connections carried a request.
    int requestsWithin(EventLoop &loop, std::chrono::milliseconds time)
    {
        accept();
        loop.runFor(time);
        return int(std::count_if(accepted_.begin(), accepted_.end(), [](auto &socket) {
            asio::error_code ignored;
            return socket.available(ignored) > 0;
        }));
    }

private:
    void accept()
    {
        acceptor_.async_accept([this](const asio::error_code &error, asio::ip::tcp::socket socket) {
            if (error)
                return;
            accepted_.push_back(std::move(socket));
            accept();
        });
    }

    asio::ip::tcp::acceptor acceptor_;
    std::vector<asio::ip::tcp::socket> fillers_;
    std::vector<asio::ip::tcp::socket> accepted_;
};

// A gateway before one endpoint that falls silent; the tests add another one meanwhile, so that it
// is known which of them gets the request first.
class SilentReplacementFixture : public FaultFixture
{
public:
    explicit SilentReplacementFixture(const std::string &service)
        : first(io)
        , service_(service)
    {
        announce("p1", service, first.address());
        serve(1);
    }

    void addEndpoint(const std::string &address)
    {
        announce("p2", service_, address);
        REQUIRE(awaitServing(2));
    }
    // Sends a request that may run twice, and waits until the first endpoint has it.
    std::shared_ptr<RawClient> sendToFirst()
    {
        const bool isStream = service_ == "model";
        auto client = connect();
        client->send(isStream ? request("POST", "/resume/a", "id1", "", StreamHeaders)
                              : request("GET", "/safe/a", "id1"));
        REQUIRE(runUntil([&] { return first.requests() == 1; }));
        return client;
    }
    // Likewise, and waits until the client has the events before the silence.
    std::shared_ptr<RawClient> beginStreamAtFirst()
    {
        auto client = sendToFirst();
        first.beginStream();
        REQUIRE(runUntil([&] { return hasEvent(*client, EventsBeforeSilence); }));
        return client;
    }
    static bool hasEvent(const RawClient &client, int number)
    {
        return client.received().find(event(number)) != std::string::npos;
    }
    bool awaitEnd(const RawClient &client)
    {
        return runUntil([&] { return client.isComplete() || client.isClosed(); });
    }
    // Whether nothing of the request is left open, after any doubt about the endpoints.
    bool awaitNothingOpen()
    {
        return runUntil(
            [&] {
                return gateway->state().openExchanges.empty()
                    && gateway->state().placement.openRequests() == 0;
            },
            std::chrono::milliseconds(1000));
    }
    bool hasRetryLeft()
    {
        gateway::GatewayState &state = gateway->state();
        return state.retryAllowances.try_emplace("model", state.startedAt)
            .first->second.hasLeft(state.retryLimit, state.liveHosts, timers.now());
    }

    ScriptedEndpoint first;

private:
    std::string service_;
};

// Whether the client has got each event once, in order, and the end of the stream.
inline bool isWholeStream(const RawClient &client)
{
    std::string events;
    std::string left = client.body();
    for (;;) {
        const std::size_t lineEnd = left.find("\r\n");
        if (lineEnd == std::string::npos)
            return false;
        const std::size_t size = std::stoul(left.substr(0, lineEnd), nullptr, 16);
        if (size == 0)
            break;
        events += left.substr(lineEnd + 2, size);
        left.erase(0, lineEnd + 2 + size + 2);
    }
    std::string expected;
    for (int number = 1; number <= Events; ++number)
        expected += event(number);
    return events == expected;
}

// Nothing listens there.
inline const std::string UnreachableAddress = "127.0.0.1:1";

} // namespace monsoongrade::platform

#endif // MONSOONGRADE_TESTS_ADAPTER_SILENTREPLACEMENTFIXTURE_H
