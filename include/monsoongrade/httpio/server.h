#ifndef MONSOONGRADE_HTTPIO_SERVER_H
#define MONSOONGRADE_HTTPIO_SERVER_H

#include <monsoongrade/httpio/responsewriter.h>
#include <monsoongrade/httpio/serverlimits.h>
#include <monsoongrade/httpio/timers.h>

#include <asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <set>

namespace monsoongrade::httpio {

// One whole request with its body.
struct ServerRequest
{
    MessageHead head;
    std::shared_ptr<const std::string> body;
    // When its first byte was read; the client's own clock started a little earlier.
    units::TimePoint receivedAt;
};

using RequestHandler = std::function<void(ServerRequest, std::shared_ptr<ResponseWriter>)>;

class ServerConnection;

// Accepts HTTP/1.1 connections on one address and hands each whole request to the handler.
class Server
{
public:
    // Throws asio::system_error if the address can't be listened on. The limits must outlive the
    // server.
    Server(asio::io_context &io, Timers &timers, const asio::ip::tcp::endpoint &address,
           const ServerLimits &limits, RequestHandler handler);
    ~Server();

    // Every response from now on asks the client to close the connection. New connections are
    // still accepted, because clients keep using an address for some seconds.
    void startDraining();
    // Stops accepting, and closes connections on which no request is open.
    void stopAccepting();
    // Requests that have been read and are not answered to the end.
    std::size_t openRequests() const { return openRequests_; }
    std::size_t connections() const { return connections_.size(); }
    const asio::ip::tcp::endpoint &address() const { return address_; }

private:
    friend class ServerConnection;

    void accept();

    asio::io_context &io_;
    Timers &timers_;
    asio::ip::tcp::acceptor acceptor_;
    asio::ip::tcp::endpoint address_;
    const ServerLimits &limits_;
    RequestHandler handler_;
    std::set<std::shared_ptr<ServerConnection>> connections_;
    std::size_t openRequests_ = 0;
    std::size_t bufferedBytes_ = 0;
    bool draining_ = false;
    bool accepting_ = true;
    bool acceptPending_ = false;
};

} // namespace monsoongrade::httpio

#endif // MONSOONGRADE_HTTPIO_SERVER_H
