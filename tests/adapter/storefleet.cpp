#include "storefleet.h"

#include <platform/platformpages.h>

#include <unistd.h>

#include <algorithm>

namespace monsoongrade::platform {

namespace {

constexpr std::uint16_t CallersPort = 8001;
constexpr std::uint16_t ReadinessPort = 8002;
constexpr std::uint16_t DirectoryPort = 8003;
constexpr std::uint16_t GossipPort = 8004;
constexpr std::uint16_t PlacementPort = 8005;
constexpr std::uint16_t RelayPort = 8007;
constexpr std::uint16_t StreamVersionsPort = 8009;
constexpr std::size_t Seeds = 3;
constexpr std::size_t FailureDomains = 5;
// One host in eight has a larger CPU share, as in a fleet with a few larger hosts.
constexpr std::size_t HostsPerLargeHost = 8;

nlohmann::json configuration(int version)
{
    return {{"version", version},
            {"routes", nlohmann::json::array()},
            {"services", nlohmann::json::array()},
            {"tenants", nlohmann::json::array()}};
}

} // namespace

struct StoreFleet::Host
{
    Host(const units::Clock &clock, const gateway::GatewaySettings &settings,
         const PlatformHeaderCodec &codec, const asio::ip::tcp::endpoint &store)
        : timers(io, clock)
        , gateway(io, timers, settings, codec, {serveReadiness, serveDirectory})
    {
        gateway.start();
        watcher = std::make_unique<PlatformWatcher>(io, timers, gateway, store, RelayPort);
        watcher->start();
    }

    bool uses(const std::string &id)
    {
        const auto available = gateway.state().registry.available(units::PoolName("plain"));
        return std::any_of(available.begin(), available.end(), [&](const auto &endpoint) {
            return endpoint->registration.id.value() == id;
        });
    }

    asio::io_context io;
    httpio::Timers timers;
    gateway::Gateway gateway;
    std::unique_ptr<PlatformWatcher> watcher;
    bool isFrozen = false;
};

StoreFleet::StoreFleet(std::size_t size)
    : timers_(io_, clock_)
    , hosts_(size)
    , store(io_, timers_, 0)
{
    for (std::size_t host = 0; host < size; ++host)
        storeAddresses_.push_back(store.addAddress());
    putConfiguration(1);
}

StoreFleet::~StoreFleet() = default;

// Test programs run in parallel: each derives its addresses from its process id.
std::string StoreFleet::ipOf(std::size_t host) const
{
    const int pid = int(getpid());
    return "127." + std::to_string(128 + (pid >> 8) % 100) + "." + std::to_string(pid % 256) + "."
        + std::to_string(host + 1);
}

gateway::GatewaySettings StoreFleet::settingsOf(std::size_t host) const
{
    const auto address = [&](std::uint16_t port) {
        return ipOf(host) + ":" + std::to_string(port);
    };
    gateway::GatewaySettings settings;
    settings.host = units::HostName("host-" + std::to_string(host));
    settings.ip = ipOf(host);
    settings.failureDomain = units::FailureDomain("z" + std::to_string(host % FailureDomains));
    settings.callersAddress = address(CallersPort);
    settings.readinessAddress = address(ReadinessPort);
    settings.directoryAddress = address(DirectoryPort);
    settings.gossipPort = GossipPort;
    settings.placementPort = PlacementPort;
    settings.relayPort = RelayPort;
    settings.streamVersionsPort = StreamVersionsPort;
    settings.cpuShare = host % HostsPerLargeHost == 0 ? 0.5 : 0.12;
    for (std::size_t seed = 0; seed < Seeds; ++seed)
        settings.seeds.push_back(ipOf(seed) + ":" + std::to_string(CallersPort));
    return settings;
}

bool StoreFleet::startAll(std::chrono::milliseconds limit)
{
    for (std::size_t host = 0; host < size(); ++host)
        start(host);
    return runUntil([this] { return allServe(); }, limit);
}

void StoreFleet::start(std::size_t host)
{
    hosts_[host] = std::make_unique<Host>(clock_, settingsOf(host), codec_, storeAddresses_[host]);
}

void StoreFleet::kill(std::size_t host)
{
    hosts_[host].reset();
}

void StoreFleet::killAll()
{
    for (std::size_t host = 0; host < size(); ++host)
        kill(host);
}

void StoreFleet::freeze(std::size_t host, bool isFrozen)
{
    hosts_[host]->isFrozen = isFrozen;
}

void StoreFleet::setBehavior(std::size_t host, standins::StoreBehavior behavior)
{
    store.setBehavior(behavior, storeAddresses_[host]);
}

std::vector<std::size_t> StoreFleet::readers() const
{
    const auto live = std::find_if(hosts_.begin(), hosts_.end(),
                                   [](const auto &host) { return host && !host->isFrozen; });
    const std::vector<std::string> ips
        = routing::storeReaders((*live)->gateway.hosts(), routing::StoreReaderCount);
    std::vector<std::size_t> readers;
    for (std::size_t host = 0; host < size(); ++host) {
        if (std::find(ips.begin(), ips.end(), ipOf(host)) != ips.end())
            readers.push_back(host);
    }
    return readers;
}

bool StoreFleet::isTrueForAll(const std::function<bool(Host &)> &condition) const
{
    return std::all_of(hosts_.begin(), hosts_.end(), [&](const auto &host) {
        return host == nullptr || host->isFrozen || condition(*host);
    });
}

bool StoreFleet::isServing(std::size_t host) const
{
    return hosts_[host] != nullptr && hosts_[host]->gateway.isServing();
}

bool StoreFleet::allServe() const
{
    return isTrueForAll([](Host &host) { return host.gateway.isServing(); });
}

bool StoreFleet::allUse(const std::string &endpoint) const
{
    return isTrueForAll([&](Host &host) { return host.uses(endpoint); });
}

bool StoreFleet::noneUses(const std::string &endpoint) const
{
    return isTrueForAll([&](Host &host) { return !host.uses(endpoint); });
}

bool StoreFleet::allUseTheirCells(std::uint32_t cells) const
{
    const units::PoolName pool("plain");
    return isTrueForAll([&](Host &host) {
        const routing::FleetDivision &division = host.gateway.division();
        const std::uint32_t cell = division.cellOf(host.gateway.settings().ip);
        const auto inCell
            = std::count_if(endpoints_.begin(), endpoints_.end(), [&](const std::string &endpoint) {
                  return division.isUsedIn(cell, pool, units::EndpointId(endpoint));
              });
        return host.gateway.isServing() && division.cells() == cells
            && host.gateway.state().registry.available(pool).size() == std::size_t(inCell);
    });
}

bool StoreFleet::allHaveVersion(std::int64_t version) const
{
    return isTrueForAll([&](Host &host) {
        const auto &table = host.gateway.state().table;
        return table != nullptr && table->configuration().version == version;
    });
}

bool StoreFleet::runUntil(const std::function<bool()> &isDone, std::chrono::milliseconds limit)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!isDone()) {
        if (std::chrono::steady_clock::now() >= end)
            return false;
        io_.run_for(std::chrono::milliseconds(1));
        io_.restart();
        for (const auto &host : hosts_) {
            if (host == nullptr || host->isFrozen)
                continue;
            host->io.poll();
            host->io.restart();
        }
    }
    return true;
}

void StoreFleet::runFor(std::chrono::milliseconds time)
{
    runUntil([] { return false; }, time);
}

int StoreFleet::callsWhile(const std::function<void()> &function)
{
    const int before = store.calls();
    function();
    return store.calls() - before;
}

void StoreFleet::putConfiguration(int version)
{
    store.put("config", "main", configuration(version));
}

void StoreFleet::putEndpoints(int count)
{
    for (int i = 0; i < count; ++i)
        putEndpoint("e" + std::to_string(i));
}

void StoreFleet::putEndpoint(const std::string &id, const std::string &state)
{
    endpoints_.push_back(id);
    nlohmann::json entry = standins::workerEntry("plain", "127.0.0.1:9");
    entry["state"] = state;
    store.put("servers", id, entry);
}

} // namespace monsoongrade::platform
