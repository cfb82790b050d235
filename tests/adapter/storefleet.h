#ifndef MONSOONGRADE_TESTS_ADAPTER_STOREFLEET_H
#define MONSOONGRADE_TESTS_ADAPTER_STOREFLEET_H

#include "../platform_standin/standinstore.h"

#include <monsoongrade/units/bootclock.h>

#include <platform/platformheadercodec.h>
#include <platform/platformwatcher.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace monsoongrade::platform {

// Many gateways and the store that they read, in one thread, on loopback addresses of their own.
// Each host has its own event loop, so that it can be killed or frozen. They run in real time.
class StoreFleet
{
public:
    explicit StoreFleet(std::size_t size);
    ~StoreFleet();

    // Starts all hosts at once and runs until each serves; false if they do not within the limit.
    bool startAll(std::chrono::milliseconds limit = std::chrono::seconds(5));
    void start(std::size_t host);
    // Ends the host without a shutdown.
    void kill(std::size_t host);
    void killAll();
    // A frozen host does nothing until it is unfrozen; its sockets stay open.
    void freeze(std::size_t host, bool isFrozen);
    // How the store treats the calls of one host.
    void setBehavior(std::size_t host, standins::StoreBehavior behavior);

    std::size_t size() const { return hosts_.size(); }
    // Hosts that read the store for the others, as computed by the first live host.
    std::vector<std::size_t> readers() const;
    bool isServing(std::size_t host) const;
    // True if all hosts that run, and are not frozen, serve.
    bool allServe() const;
    // True if all hosts that run, and are not frozen, use the endpoint, or if none does.
    bool allUse(const std::string &endpoint) const;
    bool noneUses(const std::string &endpoint) const;
    // True if all hosts that run, and are not frozen, serve with the endpoints of their cells, in
    // a fleet divided into this many.
    bool allUseTheirCells(std::uint32_t cells) const;
    // True if all hosts that run, and are not frozen, have this version of the configuration.
    bool allHaveVersion(std::int64_t version) const;

    bool runUntil(const std::function<bool()> &isDone, std::chrono::milliseconds limit);
    void runFor(std::chrono::milliseconds time);
    // Number of calls to the store while the function runs.
    int callsWhile(const std::function<void()> &function);

    void putConfiguration(int version);
    void putEndpoint(const std::string &id, const std::string &state = "ready");
    void putEndpoints(int count);

private:
    struct Host;

    std::string ipOf(std::size_t host) const;
    gateway::GatewaySettings settingsOf(std::size_t host) const;
    bool isTrueForAll(const std::function<bool(Host &)> &condition) const;

    units::BootClock clock_;
    asio::io_context io_;
    httpio::Timers timers_;
    PlatformHeaderCodec codec_;
    std::vector<asio::ip::tcp::endpoint> storeAddresses_;
    std::vector<std::unique_ptr<Host>> hosts_; // null: not running
    std::vector<std::string> endpoints_; // ids of the endpoints put in the store

public:
    standins::StandInStore store;
};

} // namespace monsoongrade::platform

#endif // MONSOONGRADE_TESTS_ADAPTER_STOREFLEET_H
