#include "relay.h"

#include <array>
#include <list>

namespace monsoongrade::scenarios {

namespace {

using asio::ip::tcp;

constexpr std::size_t PieceBytes = 16 * 1024;

tcp::endpoint endpointOf(const RelayRoute &route, int port)
{
    return {asio::ip::make_address(route.address), static_cast<asio::ip::port_type>(port)};
}

} // namespace

// One direction of one connection; keeps itself alive while it reads or writes.
class Relay::Pump : public std::enable_shared_from_this<Pump>
{
public:
    Pump(Relay &relay, Direction direction, Socket in, Socket out)
        : relay_(relay)
        , direction_(std::move(direction))
        , in_(std::move(in))
        , out_(std::move(out))
    {
    }

    void read()
    {
        in_->async_read_some(
            asio::buffer(piece_), [self = shared_from_this()](const auto &error, std::size_t size) {
                const bool isOpen = !error;
                self->relay_.whenOpen(self->direction_, [self, isOpen, size](bool isPassed) {
                    isPassed ? self->pass(isOpen, size) : self->breakOff();
                });
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
                              error ? self->breakOff() : self->read();
                          });
    }

    void breakOff()
    {
        asio::error_code ignored;
        in_->shutdown(tcp::socket::shutdown_both, ignored);
        out_->shutdown(tcp::socket::shutdown_both, ignored);
    }

    Relay &relay_;
    const Direction direction_;
    const Socket in_;
    const Socket out_;
    std::array<char, PieceBytes> piece_{};
};

Relay::Relay()
    : work_(asio::make_work_guard(io_))
    , thread_([this] { io_.run(); })
{
}

Relay::~Relay()
{
    io_.stop();
    thread_.join();
}

void Relay::add(const RelayRoute &route)
{
    const tcp::endpoint listen = endpointOf(route, route.listenPort);
    asio::post(io_, [this, route, acceptor = std::make_shared<tcp::acceptor>(io_, listen)] {
        accept(acceptor, route);
    });
}

void Relay::cut(const Direction &direction)
{
    asio::post(io_, [this, direction] { cut_.insert(direction); });
}

void Relay::heal(const Direction &direction, bool isPassed)
{
    asio::post(io_, [this, direction, isPassed] {
        cut_.erase(direction);
        const auto [begin, end] = held_.equal_range(direction);
        std::list<GoOn> healed;
        for (auto entry = begin; entry != end; ++entry)
            healed.push_back(std::move(entry->second));
        held_.erase(begin, end);
        for (const GoOn &goOn : healed)
            goOn(isPassed);
    });
}

void Relay::whenOpen(const Direction &direction, GoOn goOn)
{
    if (cut_.count(direction) > 0)
        held_.emplace(direction, std::move(goOn));
    else
        goOn(true);
}

void Relay::accept(const Acceptor &acceptor, const RelayRoute &route)
{
    acceptor->async_accept([=](const auto &error, tcp::socket socket) {
        if (!error)
            connect(std::make_shared<tcp::socket>(std::move(socket)), route);
        accept(acceptor, route);
    });
}

// A connection needs both directions to begin.
void Relay::connect(const Socket &near, const RelayRoute &route)
{
    const Direction there{route.from, route.to};
    const Direction back{route.to, route.from};
    whenOpen(there, [=](bool isThere) {
        whenOpen(back, [=](bool isBack) {
            if (!isThere || !isBack)
                return;
            const auto far = std::make_shared<tcp::socket>(io_);
            far->async_connect(endpointOf(route, route.targetPort), [=](const auto &error) {
                if (error)
                    return;
                std::make_shared<Pump>(*this, there, near, far)->read();
                std::make_shared<Pump>(*this, back, far, near)->read();
            });
        });
    });
}

} // namespace monsoongrade::scenarios
