#include <monsoongrade/httpio/server.h>

#include <httpio/internal/serverconnection.h>

#include <vector>

namespace monsoongrade::httpio {

namespace {

// Delay after a failed accept, for example when out of file descriptors: an immediate retry would
// fail again and use up the processor.
constexpr auto AcceptRetryDelay = std::chrono::milliseconds(50);

} // namespace

Server::Server(asio::io_context &io, Timers &timers, const asio::ip::tcp::endpoint &address,
               const ServerLimits &limits, RequestHandler handler)
    : io_(io)
    , timers_(timers)
    , acceptor_(io, address, true)
    , address_(acceptor_.local_endpoint())
    , limits_(limits)
    , handler_(std::move(handler))
{
    accept();
}

Server::~Server()
{
    for (const auto &connection : connections_)
        connection->closeForShutdown();
}

void Server::accept()
{
    if (!accepting_ || acceptPending_ || connections_.size() >= limits_.maxConnections)
        return;
    acceptPending_ = true;
    acceptor_.async_accept([this](const asio::error_code &error, asio::ip::tcp::socket socket) {
        acceptPending_ = false;
        if (error == asio::error::operation_aborted)
            return;
        if (error) {
            timers_.after(AcceptRetryDelay, [this] { accept(); });
            return;
        }
        auto connection = std::make_shared<ServerConnection>(*this, std::move(socket));
        connections_.insert(connection);
        connection->start();
        accept();
    });
}

void Server::startDraining()
{
    draining_ = true;
}

void Server::stopAccepting()
{
    accepting_ = false;
    asio::error_code ignored; // it may be closed already
    acceptor_.close(ignored);
    const std::vector<std::shared_ptr<ServerConnection>> all(connections_.begin(),
                                                             connections_.end());
    for (const auto &connection : all)
        connection->closeIfIdle();
}

} // namespace monsoongrade::httpio
