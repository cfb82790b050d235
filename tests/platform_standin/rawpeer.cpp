#include "rawpeer.h"

#include <asio/buffer.hpp>
#include <asio/write.hpp>

#include <cstdlib>

namespace monsoongrade::standins {

void RawConnection::write(const std::string &bytes)
{
    asio::error_code ignored; // the peer may have closed, which the test checks itself
    asio::write(socket_, asio::buffer(bytes), ignored);
}

std::size_t RawConnection::writeSome(const std::string &bytes)
{
    asio::error_code error; // it is full or closed
    socket_.non_blocking(true, error);
    return socket_.write_some(asio::buffer(bytes), error);
}

void RawConnection::closeGracefully()
{
    asio::error_code ignored;
    socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
}

void RawConnection::reset()
{
    asio::error_code ignored;
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    socket_.close(ignored);
}

RawPeer::RawPeer(asio::io_context &io, OnRequest onRequest)
    : acceptor_(io, {asio::ip::address_v4::loopback(), 0})
    , onRequest_(std::move(onRequest))
{
    accept();
}

std::string RawPeer::address() const
{
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
}

void RawPeer::accept()
{
    acceptor_.async_accept([this](const asio::error_code &error, asio::ip::tcp::socket socket) {
        if (error)
            return;
        connections_.push_back(std::make_shared<RawConnection>(std::move(socket)));
        read(connections_.back());
        accept();
    });
}

void RawPeer::read(const std::shared_ptr<RawConnection> &connection)
{
    connection->socket_.async_read_some(
        asio::buffer(connection->buffer_),
        [this, connection](const asio::error_code &error, std::size_t count) {
            if (error) {
                connection->closedByPeer_ = true;
                return;
            }
            connection->received_.append(connection->buffer_.data(), count);
            handleRequests(*connection);
            if (connection->socket_.is_open())
                read(connection);
        });
}

void RawPeer::handleRequests(RawConnection &connection)
{
    for (;;) {
        const std::size_t headEnd = connection.received_.find("\r\n\r\n");
        if (headEnd == std::string::npos)
            return;
        const std::string length = headerIn(connection.received_, "Content-Length");
        const std::size_t total = headEnd + 4 + std::size_t(std::atoi(length.c_str()));
        if (connection.received_.size() < total)
            return;
        const std::string request = connection.received_.substr(0, total);
        connection.received_.erase(0, total);
        onRequest_(connection, request, ++requests_);
    }
}

std::string headerIn(const std::string &message, const std::string &name)
{
    const std::size_t end = message.find("\r\n\r\n");
    const std::size_t at = message.find("\r\n" + name + ": ");
    if (at == std::string::npos || at > end)
        return {};
    const std::size_t begin = at + name.size() + 4;
    return message.substr(begin, message.find("\r\n", begin) - begin);
}

} // namespace monsoongrade::standins
