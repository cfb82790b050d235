#ifndef MONSOONGRADE_TESTS_PLATFORM_STANDIN_RAWPEER_H
#define MONSOONGRADE_TESTS_PLATFORM_STANDIN_RAWPEER_H

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace monsoongrade::standins {

// One accepted connection of a RawPeer.
class RawConnection : public std::enable_shared_from_this<RawConnection>
{
public:
    explicit RawConnection(asio::ip::tcp::socket socket)
        : socket_(std::move(socket))
    {
    }

    void write(const std::string &bytes);
    // Writes what the socket takes without waiting, and returns how much that is.
    std::size_t writeSome(const std::string &bytes);
    void closeGracefully();
    void reset();
    bool isClosedByPeer() const { return closedByPeer_; }

private:
    friend class RawPeer;

    asio::ip::tcp::socket socket_;
    std::array<char, 4096> buffer_{};
    std::string received_;
    bool closedByPeer_ = false;
};

// A server that responds with bytes chosen by the test, to simulate faulty workers. The handler
// gets each complete request (the head, and the body by its Content-Length).
class RawPeer
{
public:
    using OnRequest = std::function<void(RawConnection &, const std::string &request, int number)>;

    RawPeer(asio::io_context &io, OnRequest onRequest);

    std::string address() const;
    int requests() const { return requests_; }
    int connections() const { return int(connections_.size()); }
    const std::vector<std::shared_ptr<RawConnection>> &all() const { return connections_; }

private:
    void accept();
    void read(const std::shared_ptr<RawConnection> &connection);
    void handleRequests(RawConnection &connection);

    asio::ip::tcp::acceptor acceptor_;
    OnRequest onRequest_;
    std::vector<std::shared_ptr<RawConnection>> connections_;
    int requests_ = 0;
};

// The value of a header in the text of a message; empty if it is not there.
std::string headerIn(const std::string &message, const std::string &name);

} // namespace monsoongrade::standins

#endif // MONSOONGRADE_TESTS_PLATFORM_STANDIN_RAWPEER_H
