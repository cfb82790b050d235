#ifndef MONSOONGRADE_HTTPIO_SERVER_H
#define MONSOONGRADE_HTTPIO_SERVER_H

#include <monsoongrade/httpio/responsewriter.h>
#include <monsoongrade/httpio/serverlimits.h>
#include <monsoongrade/httpio/timers.h>
#include <monsoongrade/units/bytebudget.h>

#include <asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <utility>

namespace monsoongrade::httpio {

// One complete request with its body.
struct ServerRequest
{
    MessageHead head;
    std::shared_ptr<const std::string> body;
    // When its first byte was read; the client started to measure time slightly earlier.
    units::TimePoint receivedAt;
};

using RequestHandler = std::function<void(ServerRequest, std::shared_ptr<ResponseWriter>)>;

class ServerConnection;

// Accepts HTTP/1.1 connections on one address and passes each complete request to the handler.
class Server
{
public:
    // Throws asio::system_error if it can't listen on the address. The limits must outlive the
    // server.
    Server(asio::io_context &io, Timers &timers, const asio::ip::tcp::endpoint &address,
           const ServerLimits &limits, RequestHandler handler);
    ~Server();

    // Counts the response bytes of further connections that wait to be sent.
    void countUnsentBytes(std::shared_ptr<units::ByteBudget> budget)
    {
        unsentBytes_ = std::move(budget);
    }
    // From now on, each response asks the client to close the connection. New connections are
    // still accepted, because clients keep using an address for some seconds.
    void startDraining();
    // Stops accepting connections and closes those without an open request.
    void stopAccepting();
    // Requests that have been read and whose response is incomplete.
    std::size_t openRequests() const { return openRequests_; }
    std::size_t connections() const { return connections_.size(); }
    // Connections closed while idle to make room for new ones, since the start.
    std::size_t evictedConnections() const { return evictedConnections_; }
    // Connections accepted without room to serve them, since the start.
    std::size_t refusedConnections() const { return refusedConnections_; }
    // A connection was refused a moment ago. Stays true for a while, so that it does not flap.
    bool isFull() const;
    const asio::ip::tcp::endpoint &address() const { return address_; }

private:
    friend class ServerConnection;

    void accept();
    void add(asio::ip::tcp::socket socket);
    void retry();
    bool closeLongestIdle();
    void onIdle(ServerConnection &connection);
    void onBusy(ServerConnection &connection);

    asio::io_context &io_;
    Timers &timers_;
    asio::ip::tcp::acceptor acceptor_;
    asio::ip::tcp::endpoint address_;
    const ServerLimits &limits_;
    RequestHandler handler_;
    std::set<std::shared_ptr<ServerConnection>> connections_;
    // Those between two requests, the longest idle first.
    std::set<std::pair<units::TimePoint, ServerConnection *>> idle_;
    std::size_t openRequests_ = 0;
    std::size_t evictedConnections_ = 0;
    std::size_t refusedConnections_ = 0;
    std::optional<units::TimePoint> lastRefusedAt_;
    std::size_t bufferedBytes_ = 0;
    std::shared_ptr<units::ByteBudget> unsentBytes_; // null: not counted
    // Accepted without room, where none is refused; no other is accepted meanwhile.
    std::optional<asio::ip::tcp::socket> waiting_;
    Timers::Handle retryTimer_;
    bool draining_ = false;
    bool accepting_ = true;
    bool acceptPending_ = false;
};

} // namespace monsoongrade::httpio

#endif // MONSOONGRADE_HTTPIO_SERVER_H
