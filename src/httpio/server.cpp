#include <monsoongrade/httpio/server.h>

#include <httpio/internal/serverconnection.h>

#include <vector>

namespace monsoongrade::httpio {

namespace {

// Delay after a failed accept, for example when out of file descriptors: an immediate retry would
// fail again and use up the processor.
constexpr auto AcceptRetryDelay = std::chrono::milliseconds(50);
// A connection idle for less than this is not closed to make room: its client may just be sending.
constexpr auto MinIdleTime = std::chrono::seconds(1);
// Idle connections with unread bytes that are passed over in one search.
constexpr int MaxSkippedConnections = 16;
constexpr auto FullTime = std::chrono::seconds(2);

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
    timers_.cancel(retryTimer_);
    for (const auto &connection : connections_)
        connection->closeForShutdown();
}

void Server::accept()
{
    const std::size_t maxOpen = limits_.maxConnections + limits_.maxRefusedConnections;
    const bool isAtLimit = limits_.maxRefusedConnections > 0 && connections_.size() >= maxOpen;
    if (!accepting_ || acceptPending_ || waiting_ || isAtLimit)
        return;
    acceptPending_ = true;
    acceptor_.async_accept([this](const asio::error_code &error, asio::ip::tcp::socket socket) {
        acceptPending_ = false;
        if (error == asio::error::operation_aborted)
            return;
        if (error) {
            if (error == asio::error::no_descriptors)
                closeLongestIdle();
            retryTimer_ = timers_.after(AcceptRetryDelay, [this] { retry(); });
            return;
        }
        add(std::move(socket));
        accept();
    });
}

void Server::add(asio::ip::tcp::socket socket)
{
    const bool hasRoom = connections_.size() < limits_.maxConnections || closeLongestIdle();
    if (!hasRoom && limits_.maxRefusedConnections == 0) {
        waiting_ = std::move(socket);
        retryTimer_ = timers_.after(AcceptRetryDelay, [this] { retry(); });
        return;
    }
    const auto connection = std::make_shared<ServerConnection>(*this, std::move(socket));
    connections_.insert(connection);
    if (!hasRoom) {
        ++refusedConnections_;
        lastRefusedAt_ = timers_.now();
        connection->refuseRequests();
    }
    connection->start();
}

void Server::retry()
{
    if (waiting_) {
        asio::ip::tcp::socket socket = std::move(*waiting_);
        waiting_.reset();
        add(std::move(socket));
    }
    accept();
}

bool Server::isFull() const
{
    return lastRefusedAt_ && timers_.now() < *lastRefusedAt_ + FullTime;
}

// Returns false if no connection has been idle for long enough. One with unread bytes is kept, as
// they are the next request.
bool Server::closeLongestIdle()
{
    const units::TimePoint latest = timers_.now() - MinIdleTime;
    int skipped = 0;
    for (const auto &[since, connection] : idle_) {
        if (since > latest || skipped == MaxSkippedConnections)
            return false;
        if (connection->closeUnlessReadable()) {
            ++evictedConnections_;
            return true;
        }
        ++skipped;
    }
    return false;
}

void Server::onIdle(ServerConnection &connection)
{
    idle_.insert({connection.idleSince(), &connection});
}

void Server::onBusy(ServerConnection &connection)
{
    idle_.erase({connection.idleSince(), &connection});
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
    waiting_.reset();
    const std::vector<std::shared_ptr<ServerConnection>> all(connections_.begin(),
                                                             connections_.end());
    for (const auto &connection : all)
        connection->closeIfIdle();
}

} // namespace monsoongrade::httpio
