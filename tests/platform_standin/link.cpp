#include "link.h"

#include <monsoongrade/httpio/socketoptions.h>

#include <asio/buffer.hpp>
#include <asio/write.hpp>

#include <array>

namespace monsoongrade::standins {

namespace {

constexpr int UsualBacklog = 128;
// Connections that the kernel queues with a backlog of 0, and one for certainty.
constexpr int ConnectionsToFillQueue = 3;

} // namespace

// A pair of sockets whose bytes are passed on in both directions.
class Link::Connection : public std::enable_shared_from_this<Connection>
{
public:
    Connection(asio::ip::tcp::socket host, asio::io_context &io)
        : host_(std::move(host))
        , worker_(io)
    {
    }

    void start(const asio::ip::tcp::endpoint &worker)
    {
        worker_.async_connect(worker, [self = shared_from_this()](const asio::error_code &error) {
            if (error)
                return self->close();
            self->pass(self->host_, self->worker_, self->fromHost_);
            self->pass(self->worker_, self->host_, self->fromWorker_);
        });
    }
    void setSilent(bool isSilent) { isSilent_ = isSilent; }
    void reset()
    {
        asio::error_code ignored; // the peer may have closed it
        host_.set_option(asio::socket_base::linger(true, 0), ignored);
        worker_.set_option(asio::socket_base::linger(true, 0), ignored);
        close();
    }

private:
    using Buffer = std::array<char, 16 * 1024>;

    void pass(asio::ip::tcp::socket &from, asio::ip::tcp::socket &to, Buffer &buffer)
    {
        from.async_read_some(
            asio::buffer(buffer),
            [self = shared_from_this(), &from, &to, &buffer](const asio::error_code &error,
                                                             std::size_t count) {
                if (self->isSilent_)
                    return; // what is under way is lost
                if (error)
                    return self->close();
                asio::async_write(
                    to, asio::buffer(buffer.data(), count),
                    [self, &from, &to, &buffer](const asio::error_code &failure, std::size_t) {
                        if (failure)
                            return self->close();
                        self->pass(from, to, buffer);
                    });
            });
    }
    void close()
    {
        asio::error_code ignored; // both are closed in any case
        host_.close(ignored);
        worker_.close(ignored);
    }

    asio::ip::tcp::socket host_;
    asio::ip::tcp::socket worker_;
    Buffer fromHost_{};
    Buffer fromWorker_{};
    bool isSilent_ = false;
};

Link::Link(asio::io_context &io, const std::string &workerAddress)
    : io_(io)
    , worker_(*httpio::parseAddress(workerAddress))
    , acceptor_(io)
    , address_(asio::ip::address_v4::loopback(), 0)
{
    listen(UsualBacklog);
    accept();
}

Link::~Link() = default;

std::string Link::address() const
{
    return "127.0.0.1:" + std::to_string(address_.port());
}

void Link::listen(int backlog)
{
    asio::error_code ignored; // it may not be open
    acceptor_.close(ignored);
    acceptor_.open(asio::ip::tcp::v4());
    acceptor_.set_option(asio::socket_base::reuse_address(true));
    acceptor_.bind(address_);
    acceptor_.listen(backlog);
    address_ = acceptor_.local_endpoint();
}

void Link::accept()
{
    acceptor_.async_accept([this](const asio::error_code &error, asio::ip::tcp::socket host) {
        if (error)
            return; // closed by cut()
        auto connection = std::make_shared<Connection>(std::move(host), io_);
        connections_.push_back(connection);
        connection->start(worker_);
        accept();
    });
}

void Link::fillQueue()
{
    for (int i = 0; i < ConnectionsToFillQueue; ++i) {
        queued_.push_back(std::make_unique<asio::ip::tcp::socket>(io_));
        queued_.back()->async_connect(address_, [](const asio::error_code &) {});
    }
}

void Link::cut(LinkFault fault)
{
    for (const auto &each : connections_) {
        const auto connection = each.lock();
        if (connection == nullptr)
            continue;
        if (fault == LinkFault::Silent)
            connection->setSilent(true);
        if (fault == LinkFault::Reset)
            connection->reset();
    }
    if (fault == LinkFault::Refuse) {
        acceptor_.close();
        return;
    }
    listen(0);
    fillQueue();
}

void Link::heal()
{
    queued_.clear();
    listen(UsualBacklog);
    accept();
}

} // namespace monsoongrade::standins
