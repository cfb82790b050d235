#ifndef MONSOONGRADE_TESTS_SCENARIO_RUNNER_RELAY_H
#define MONSOONGRADE_TESTS_SCENARIO_RUNNER_RELAY_H

#include <cstdint>
#include <memory>
#include <string>

namespace monsoongrade::scenarios {

// Where connections of one process to another pass through.
struct RelayRoute
{
    std::string from;
    std::string to;
    std::string address;
    std::uint16_t listenPort = 0;
    std::uint16_t targetPort = 0;
};

// Passes bytes between processes over loopback and can cut each direction by itself, as a network
// does: what is sent into a cut is neither lost nor delivered, but comes once the cut has healed,
// the end of a connection as well. Thread-safe.
class Relay
{
public:
    Relay();
    ~Relay();
    Relay(const Relay &) = delete;
    Relay &operator=(const Relay &) = delete;

    // Listens for the connections of route.from. Throws std::system_error where it can't.
    void add(const RelayRoute &route);
    // Holds, or lets pass again, whatever one process sends to another, no matter who connected.
    void setCut(const std::string &from, const std::string &to, bool isCut);

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace monsoongrade::scenarios

#endif // MONSOONGRADE_TESTS_SCENARIO_RUNNER_RELAY_H
