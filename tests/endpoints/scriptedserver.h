#ifndef MONSOONGRADE_TESTS_ENDPOINTS_SCRIPTEDSERVER_H
#define MONSOONGRADE_TESTS_ENDPOINTS_SCRIPTEDSERVER_H

#include <asio.hpp>

#include <poll.h>

#include <atomic>
#include <chrono>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace monsoongrade::endpoints {

// How a scripted connection ends behind its last text.
enum class ConnectionEnd {
    Close,
    // As soon as the connection stands, whether or not the client has seen that it does.
    ResetAtOnce,
    // Once bytes of a request have arrived, which stay unread.
    ResetWhenRequestArrives,
    // Once the last text was sent and the time of keepOpenFor() has passed.
    ResetAfterLastText,
};

// A TCP server that plays an endpoint: for the n-th request on a connection it sends the n-th
// text of that connection's script and ends it behind the last one. Connections beyond the last
// script get the last one.
class ScriptedServer
{
public:
    using Script = std::vector<std::string>;

    explicit ScriptedServer(std::vector<Script> scripts, ConnectionEnd end = ConnectionEnd::Close)
        : scripts_(std::move(scripts))
        , end_(end)
        , acceptor_(io_, {asio::ip::address_v4::loopback(), 0})
    {
        acceptor_.listen();
        thread_ = std::thread([this] { run(); });
    }

    ~ScriptedServer()
    {
        stopping_ = true;
        asio::io_context io;
        asio::ip::tcp::socket waker(io);
        asio::error_code ignored;
        waker.connect(acceptor_.local_endpoint(), ignored);
        thread_.join();
        {
            const std::lock_guard lock(mutex_);
            for (const auto &socket : sockets_)
                socket->shutdown(asio::socket_base::shutdown_both, ignored);
        }
        for (std::thread &thread : connections_)
            thread.join();
    }

    std::string url(const std::string &path) const
    {
        return "http://127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()) + path;
    }
    // Connections are closed this long after the last text, or when the client closes them.
    void keepOpenFor(std::chrono::milliseconds time) { keepOpen_ = time; }
    // Requests that arrived whole.
    int requests() const { return requests_; }

private:
    static constexpr int UntilReady = -1;

    void run()
    {
        for (std::size_t number = 0;; ++number) {
            const auto socket = std::make_shared<asio::ip::tcp::socket>(io_);
            acceptor_.accept(*socket);
            if (stopping_)
                return;
            sockets_.push_back(socket);
            connections_.emplace_back([this, socket, number] {
                serve(*socket, scripts_[std::min(number, scripts_.size() - 1)]);
                waitForClient(*socket);
                const std::lock_guard lock(mutex_);
                if (end_ != ConnectionEnd::Close)
                    socket->set_option(asio::socket_base::linger(true, 0));
                socket->close();
            });
        }
    }

    void serve(asio::ip::tcp::socket &socket, const Script &script)
    {
        asio::streambuf received;
        for (const std::string &answer : script) {
            asio::error_code error;
            const std::size_t head = asio::read_until(socket, received, "\r\n\r\n", error);
            if (error)
                return;
            received.consume(head);
            ++requests_;
            asio::write(socket, asio::buffer(answer), error);
        }
    }

    void waitForClient(asio::ip::tcp::socket &socket) const
    {
        pollfd client{socket.native_handle(), POLLIN | POLLRDHUP, 0};
        if (end_ == ConnectionEnd::ResetWhenRequestArrives)
            poll(&client, 1, UntilReady);
        else if (end_ == ConnectionEnd::ResetAfterLastText)
            std::this_thread::sleep_for(keepOpen_.load());
        else if (keepOpen_.load().count() > 0)
            poll(&client, 1, static_cast<int>(keepOpen_.load().count()));
    }

    std::vector<Script> scripts_;
    const ConnectionEnd end_;
    asio::io_context io_;
    asio::ip::tcp::acceptor acceptor_;
    std::atomic<int> requests_{0};
    std::atomic<bool> stopping_{false};
    std::atomic<std::chrono::milliseconds> keepOpen_{std::chrono::milliseconds(0)};
    // Sockets are closed on one thread and shut down on another.
    std::mutex mutex_;
    std::vector<std::shared_ptr<asio::ip::tcp::socket>> sockets_;
    std::vector<std::thread> connections_;
    std::thread thread_;
};

} // namespace monsoongrade::endpoints

#endif // MONSOONGRADE_TESTS_ENDPOINTS_SCRIPTEDSERVER_H
