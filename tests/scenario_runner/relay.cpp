#include "relay.h"

#include <asio.hpp>

#include <array>
#include <functional>
#include <list>
#include <map>
#include <set>
#include <thread>

namespace monsoongrade::scenarios {

namespace {

using asio::ip::tcp;

constexpr std::size_t PieceBytes = 16 * 1024;

// The directions that are cut, and what waits for them to heal. On the relay's thread only.
class Cuts
{
public:
    using Direction = std::pair<std::string, std::string>;

    // Goes on now, or once the direction has healed.
    void whenOpen(const Direction &direction, std::function<void()> goOn)
    {
        if (cut_.count(direction) > 0)
            held_.emplace(direction, std::move(goOn));
        else
            goOn();
    }

    void set(const Direction &direction, bool isCut)
    {
        if (isCut) {
            cut_.insert(direction);
            return;
        }
        cut_.erase(direction);
        const auto [begin, end] = held_.equal_range(direction);
        std::list<std::function<void()>> healed;
        for (auto entry = begin; entry != end; ++entry)
            healed.push_back(std::move(entry->second));
        held_.erase(begin, end);
        for (const auto &goOn : healed)
            goOn();
    }

private:
    std::set<Direction> cut_;
    std::multimap<Direction, std::function<void()>> held_;
};

// One direction of one connection; keeps itself alive while it reads or writes.
class Pump : public std::enable_shared_from_this<Pump>
{
public:
    Pump(Cuts &cuts, Cuts::Direction direction, std::shared_ptr<tcp::socket> in,
         std::shared_ptr<tcp::socket> out)
        : cuts_(cuts)
        , direction_(std::move(direction))
        , in_(std::move(in))
        , out_(std::move(out))
    {
    }

    void read()
    {
        in_->async_read_some(
            asio::buffer(piece_), [self = shared_from_this()](const auto &error, std::size_t size) {
                self->cuts_.whenOpen(self->direction_,
                                     [self, error, size] { self->pass(!error, size); });
            });
    }

private:
    void pass(bool isOpen, std::size_t size)
    {
        if (!isOpen) {
            asio::error_code ignored;
            out_->shutdown(tcp::socket::shutdown_send, ignored);
            return;
        }
        asio::async_write(*out_, asio::buffer(piece_, size),
                          [self = shared_from_this()](const auto &error, std::size_t) {
                              asio::error_code ignored;
                              if (error)
                                  self->in_->shutdown(tcp::socket::shutdown_both, ignored);
                              else
                                  self->read();
                          });
    }

    Cuts &cuts_;
    const Cuts::Direction direction_;
    const std::shared_ptr<tcp::socket> in_;
    const std::shared_ptr<tcp::socket> out_;
    std::array<char, PieceBytes> piece_{};
};

} // namespace

class Relay::Impl
{
public:
    Impl()
        : work_(asio::make_work_guard(io_))
        , thread_([this] { io_.run(); })
    {
    }

    ~Impl()
    {
        io_.stop();
        thread_.join();
    }

    void add(const RelayRoute &route)
    {
        const auto address = asio::ip::make_address(route.address);
        auto acceptor
            = std::make_shared<tcp::acceptor>(io_, tcp::endpoint(address, route.listenPort));
        asio::post(io_, [=] { accept(acceptor, route); });
    }

    void setCut(const std::string &from, const std::string &to, bool isCut)
    {
        asio::post(io_, [=] { cuts_.set({from, to}, isCut); });
    }

private:
    void accept(const std::shared_ptr<tcp::acceptor> &acceptor, const RelayRoute &route)
    {
        acceptor->async_accept([=](const auto &error, tcp::socket socket) {
            if (!error)
                connect(std::make_shared<tcp::socket>(std::move(socket)), route);
            accept(acceptor, route);
        });
    }

    // A connection needs both directions to begin.
    void connect(const std::shared_ptr<tcp::socket> &near, const RelayRoute &route)
    {
        const Cuts::Direction there{route.from, route.to};
        const Cuts::Direction back{route.to, route.from};
        cuts_.whenOpen(there, [=] {
            cuts_.whenOpen(back, [=] {
                const auto far = std::make_shared<tcp::socket>(io_);
                const tcp::endpoint target(asio::ip::make_address(route.address), route.targetPort);
                far->async_connect(target, [=](const auto &error) {
                    if (error)
                        return;
                    std::make_shared<Pump>(cuts_, there, near, far)->read();
                    std::make_shared<Pump>(cuts_, back, far, near)->read();
                });
            });
        });
    }

    // The sockets of what is held and of what still runs go before the context.
    asio::io_context io_;
    Cuts cuts_;
    asio::executor_work_guard<asio::io_context::executor_type> work_;
    std::thread thread_;
};

Relay::Relay()
    : impl_(std::make_unique<Impl>())
{
}

Relay::~Relay() = default;

void Relay::add(const RelayRoute &route)
{
    impl_->add(route);
}

void Relay::setCut(const std::string &from, const std::string &to, bool isCut)
{
    impl_->setCut(from, to, isCut);
}

} // namespace monsoongrade::scenarios
