#ifndef MONSOONGRADE_TESTS_SCENARIO_RUNNER_RELAY_H
#define MONSOONGRADE_TESTS_SCENARIO_RUNNER_RELAY_H

#include <asio.hpp>

#include <functional>
#include <map>
#include <set>
#include <string>
#include <thread>

namespace monsoongrade::scenarios {

// Where connections of one process to another pass through.
struct RelayRoute
{
    std::string from;
    std::string to;
    std::string address;
    int listenPort = 0;
    int targetPort = 0;
};

// Passes bytes between processes over loopback and can cut each direction by itself, as a network
// does: what is sent into a cut is neither delivered nor an error to its sender. Thread-safe.
class Relay
{
public:
    // Sender and receiver.
    using Direction = std::pair<std::string, std::string>;

    Relay();
    ~Relay();
    Relay(const Relay &) = delete;
    Relay &operator=(const Relay &) = delete;

    // Listens for the connections of route.from. Throws std::system_error where it can't.
    void add(const RelayRoute &route);
    // Holds whatever is sent in this direction from now on, no matter who connected.
    void cut(const Direction &direction);
    // Lets it pass again. What was held comes now, late, as after a short cut; or else its
    // connections break, as those do that a long cut has outlived.
    void heal(const Direction &direction, bool isPassed);

private:
    class Pump;
    using Acceptor = std::shared_ptr<asio::ip::tcp::acceptor>;
    using Socket = std::shared_ptr<asio::ip::tcp::socket>;
    // Called with true now or once the direction has healed, or with false once it is lost.
    using GoOn = std::function<void(bool isPassed)>;

    void whenOpen(const Direction &direction, GoOn goOn);
    void accept(const Acceptor &acceptor, const RelayRoute &route);
    void connect(const Socket &near, const RelayRoute &route);

    asio::io_context io_;
    // On the relay's thread only; what is held goes before the context.
    std::set<Direction> cut_;
    std::multimap<Direction, GoOn> held_;
    asio::executor_work_guard<asio::io_context::executor_type> work_;
    std::thread thread_;
};

} // namespace monsoongrade::scenarios

#endif // MONSOONGRADE_TESTS_SCENARIO_RUNNER_RELAY_H
