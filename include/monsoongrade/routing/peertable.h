#ifndef MONSOONGRADE_ROUTING_PEERTABLE_H
#define MONSOONGRADE_ROUTING_PEERTABLE_H

#include <monsoongrade/units/clock.h>
#include <monsoongrade/units/ids.h>

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace monsoongrade::routing {

enum class PeerState : std::uint8_t {
    Serving, // accepts requests
    NotReady, // runs without a usable configuration
    Leaving, // will stop soon
    Lost, // declared by a host that monitors it; no host reports this of itself
};

// State that a host reports of itself, with the age of the report.
struct PeerUpdate
{
    std::string ip;
    units::FailureDomain failureDomain;
    PeerState state = PeerState::NotReady;
    units::Duration age{}; // since the host itself sent it
    units::Duration uptime{}; // of its process, at the time of the report
    units::Duration storeReachableFor{}; // without interruption, at the time of the report
    int millicores = 0; // thousandths of a processor core available to it
    // The store refused it a moment ago, although other hosts can reach the store.
    bool isStoreRefused = false;
    // Fencing token of the duties' lease while the host holds it; 0 otherwise.
    std::uint64_t dutyToken = 0;
    // Pools to whose endpoints it can open no connection.
    std::vector<units::PoolName> unreachablePools;
};

// The other hosts, as learned by gossip: each host sends what it knows, with its age, to some
// others. Uses no wall clocks, only ages on this host's clock and, in a large fleet, the uptimes
// that hosts report of themselves, which are passed on unchanged.
class PeerTable
{
public:
    // Adds an address from the settings that may be a host. It counts as one once reported.
    void addSeed(const std::string &ip);
    // Merges an update that has just arrived. Ignored if older than the known state.
    void receive(const PeerUpdate &update, units::TimePoint now);
    // The host, which this one monitors, has sent no heartbeat and answered no probe.
    void markLost(const std::string &ip, units::TimePoint now);

    // So many hosts are known that the age of updates does not show whether a host runs: hosts then
    // monitor each other, and a host counts as running until another one declares it lost.
    bool isLarge() const;
    // Changes to pass on to other hosts, those sent least often first.
    std::vector<PeerUpdate> takeChanges(std::size_t maxItems, units::TimePoint now,
                                        std::minstd_rand &random);
    // Updates about randomly selected live hosts.
    std::vector<PeerUpdate> sample(std::size_t maxItems, units::TimePoint now,
                                   std::minstd_rand &random) const;

    // Whether the last update of the host is recent enough for it to count as running.
    bool isLive(const std::string &ip, units::TimePoint now) const;
    // Hosts with updates recent enough to count as running, without this host.
    std::vector<PeerUpdate> live(units::TimePoint now) const;
    std::vector<std::string> liveIps(units::TimePoint now) const;
    // Addresses to send this host's state to: live hosts, and also seeds and lost hosts, so that
    // two parts of a partitioned fleet find each other again.
    std::vector<std::string> recipients(units::TimePoint now) const;

private:
    struct Entry
    {
        PeerUpdate update;
        units::TimePoint reportedAt;
        bool hasReport = false;
        int transmitsLeft = 0; // rounds in which its change is still to be sent
    };

    bool isLive(const Entry &entry, units::TimePoint now) const;
    bool isNewer(const PeerUpdate &update, const Entry &known, units::TimePoint now) const;
    PeerUpdate updateFor(const Entry &entry, units::TimePoint now) const;

    std::map<std::string, Entry> entries_; // by ip
    std::size_t reportedHosts_ = 0; // entries with a report
};

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_PEERTABLE_H
