#ifndef MONSOONGRADE_TESTS_RPC_TESTRELAY_H
#define MONSOONGRADE_TESTS_RPC_TESTRELAY_H

#include <asio.hpp>

#include <array>
#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace monsoongrade::tests {

// Stands in the link between routers and a scheduler: passes connections on, counts their bytes,
// and goes silent in either direction without closing anything, as a dead path does.
class TestRelay
{
public:
    TestRelay(const std::string &address, std::uint16_t port, const std::string &target,
              std::uint16_t targetPort)
        : acceptor_(io_, {asio::ip::make_address(address), port})
        , target_(asio::ip::make_address(target), targetPort)
        , thread_([this] {
            accept();
            io_.run();
        })
    {
    }
    ~TestRelay()
    {
        io_.stop();
        thread_.join();
    }

    std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
    std::int64_t toScheduler() const { return toScheduler_; }
    std::int64_t toRouter() const { return toRouter_; }

    // From when it returns, nothing passes that way on the connections there are; new ones pass.
    void cut(bool toScheduler, bool toRouter)
    {
        asio::post(io_, asio::use_future([=] {
                       for (const auto &link : links_) {
                           link->up.cut = link->up.cut || toScheduler;
                           link->down.cut = link->down.cut || toRouter;
                       }
                   }))
            .get();
    }

private:
    using Socket = asio::ip::tcp::socket;
    struct Way
    {
        std::array<char, 65536> buffer{};
        bool cut = false;
    };
    struct Link
    {
        explicit Link(asio::io_context &io)
            : near(io)
            , far(io)
        {
        }
        Socket near;
        Socket far;
        Way up;
        Way down;
    };

    void accept()
    {
        const auto link = std::make_shared<Link>(io_);
        acceptor_.async_accept(link->near, [this, link](asio::error_code error) {
            if (error)
                return;
            link->far.connect(target_, error);
            if (!error)
                join(link);
            accept();
        });
    }

    void join(const std::shared_ptr<Link> &link)
    {
        link->near.set_option(asio::ip::tcp::no_delay(true));
        link->far.set_option(asio::ip::tcp::no_delay(true));
        links_.push_back(link);
        pump(link, link->near, link->far, link->up, toScheduler_);
        pump(link, link->far, link->near, link->down, toRouter_);
    }

    void pump(const std::shared_ptr<Link> &link, Socket &from, Socket &to, Way &way,
              std::atomic<std::int64_t> &count)
    {
        const auto passOn = [this, link, &from, &to, &way, &count](auto error, std::size_t size) {
            // A dead path does not tell the end either.
            if (error && !way.cut)
                to.close(error);
            if (error)
                return;
            count += static_cast<std::int64_t>(size);
            if (!way.cut)
                asio::write(to, asio::buffer(way.buffer, size), error);
            pump(link, from, to, way, count);
        };
        from.async_read_some(asio::buffer(way.buffer), passOn);
    }

    asio::io_context io_{1};
    asio::ip::tcp::acceptor acceptor_;
    asio::ip::tcp::endpoint target_;
    std::vector<std::shared_ptr<Link>> links_;
    std::atomic<std::int64_t> toScheduler_{0};
    std::atomic<std::int64_t> toRouter_{0};
    std::thread thread_;
};

} // namespace monsoongrade::tests

#endif // MONSOONGRADE_TESTS_RPC_TESTRELAY_H
