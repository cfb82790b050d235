#ifndef MONSOONGRADE_TESTS_PLATFORM_STANDIN_LINK_H
#define MONSOONGRADE_TESTS_PLATFORM_STANDIN_LINK_H

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <memory>
#include <string>
#include <vector>

namespace monsoongrade::standins {

// How a link fails. In each case new connections are not made.
enum class LinkFault {
    Silent, // open connections carry nothing more, new ones hang
    Reset, // open connections are reset, new ones hang
    Refuse, // open connections go on, new ones are refused
};

// The network path from one host to a worker: a port that passes connections on to the worker until
// the path is cut.
class Link
{
public:
    Link(asio::io_context &io, const std::string &workerAddress);
    ~Link();

    // IP:PORT to announce as the worker's to the host whose path this is.
    std::string address() const;
    void cut(LinkFault fault);
    void heal();

private:
    class Connection;

    void listen(int backlog);
    void accept();
    // Fills the queue of new connections, so that the kernel drops the packets of further ones.
    void fillQueue();

    asio::io_context &io_;
    asio::ip::tcp::endpoint worker_;
    asio::ip::tcp::acceptor acceptor_;
    asio::ip::tcp::endpoint address_;
    std::vector<std::unique_ptr<asio::ip::tcp::socket>> queued_;
    std::vector<std::weak_ptr<Connection>> connections_;
};

} // namespace monsoongrade::standins

#endif // MONSOONGRADE_TESTS_PLATFORM_STANDIN_LINK_H
