#ifndef MONSOONGRADE_TESTS_ADAPTER_RAWCLIENT_H
#define MONSOONGRADE_TESTS_ADAPTER_RAWCLIENT_H

#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>

#include <array>
#include <cstdlib>
#include <memory>
#include <string>

namespace monsoongrade::platform {

// A client that sends bytes as given and records everything it receives.
class RawClient : public std::enable_shared_from_this<RawClient>
{
public:
    static std::shared_ptr<RawClient> connect(asio::io_context &io,
                                              const asio::ip::tcp::endpoint &address)
    {
        auto client = std::make_shared<RawClient>(io);
        client->socket_.connect(address);
        client->read();
        return client;
    }

    explicit RawClient(asio::io_context &io)
        : socket_(io)
    {
    }

    void send(const std::string &bytes)
    {
        asio::error_code ignored; // a closed connection shows in isClosed()
        asio::write(socket_, asio::buffer(bytes), ignored);
    }
    void close()
    {
        asio::error_code ignored;
        socket_.close(ignored);
    }
    // Discards what was received, before the next request on the connection.
    void clear() { received_.clear(); }

    const std::string &received() const { return received_; }
    bool isClosed() const { return isClosed_; }
    // Status of the response, 0 before its first line.
    int status() const
    {
        return received_.size() < 12 ? 0 : std::atoi(received_.substr(9, 3).c_str());
    }
    std::string body() const
    {
        const std::size_t end = received_.find("\r\n\r\n");
        return end == std::string::npos ? std::string() : received_.substr(end + 4);
    }
    // True if a response with a length is complete, or a chunked one has its last chunk.
    bool isComplete() const
    {
        const std::size_t end = received_.find("\r\n\r\n");
        if (end == std::string::npos)
            return false;
        const std::string lengthName = "Content-Length: ";
        const std::size_t at = received_.find(lengthName);
        if (at != std::string::npos && at < end)
            return body().size()
                >= std::size_t(std::atoi(received_.c_str() + at + lengthName.size()));
        const std::string last = "0\r\n\r\n";
        return received_.size() >= last.size()
            && received_.compare(received_.size() - last.size(), last.size(), last) == 0;
    }

private:
    void read()
    {
        socket_.async_read_some(
            asio::buffer(buffer_),
            [self = shared_from_this()](const asio::error_code &error, std::size_t count) {
                if (error) {
                    self->isClosed_ = true;
                    return;
                }
                self->received_.append(self->buffer_.data(), count);
                self->read();
            });
    }

    asio::ip::tcp::socket socket_;
    std::array<char, 8192> buffer_{};
    std::string received_;
    bool isClosed_ = false;
};

} // namespace monsoongrade::platform

#endif // MONSOONGRADE_TESTS_ADAPTER_RAWCLIENT_H
