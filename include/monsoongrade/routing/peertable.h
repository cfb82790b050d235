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
    Serving, // takes requests
    NotReady, // runs, but has no usable configuration
    Leaving, // stops soon
    Lost, // declared by a host that watches it; never said by a host of itself
};

// What one host says of itself, with the age that the news has here.
struct PeerUpdate
{
    std::string ip;
    units::FailureDomain failureDomain;
    PeerState state = PeerState::NotReady;
    units::Duration age{}; // since the host itself said it
    units::Duration uptime{}; // of its process, when it said it
    units::Duration
        storeReachableFor{}; // how long it has had the store without a break, when it said it
    int millicores = 0; // thousandths of a processor core that it may use
    // The store turned it away a moment ago, though other hosts have the store.
    bool isStoreRefused = false;
    // Fencing token of the duties' lease while the host holds it; 0 otherwise.
    std::uint64_t dutyToken = 0;
};

// The other hosts, learned from each other: each tells some others what it knows with its age.
// Decides nothing by wall clocks, only by ages on this host's clock, and in a large fleet by the
// uptimes that hosts tell of themselves, which are passed on unchanged.
class PeerTable
{
public:
    // Adds addresses that may be hosts, from the settings. They count as hosts once they speak.
    void addSeed(const std::string &ip);
    // News that arrived just now. Older news than what is known changes nothing.
    void receive(const PeerUpdate &news, units::TimePoint now);
    // The other host, which this one watches, has sent no heartbeat and answered no probe.
    void markLost(const std::string &ip, units::TimePoint now);

    // So many hosts have been heard of that the age of news does not tell whether a host runs:
    // hosts then watch each other, and one runs until another one takes it for lost.
    bool isLarge() const;
    // Changes that this host shall pass on, at most so many, those first that were told least
    // often.
    std::vector<PeerUpdate> takeChanges(std::size_t most, units::TimePoint now,
                                        std::minstd_rand &random);
    // News of some live hosts, other ones each time.
    std::vector<PeerUpdate> sample(std::size_t most, units::TimePoint now,
                                   std::minstd_rand &random) const;

    // True if the host was heard of recently enough to be taken for running.
    bool isLive(const std::string &ip, units::TimePoint now) const;
    // Hosts heard of recently enough to be taken for running, this host not included.
    std::vector<PeerUpdate> live(units::TimePoint now) const;
    std::vector<std::string> liveIps(units::TimePoint now) const;
    // Addresses to tell the own state to: live hosts first, and seeds and lost hosts so that two
    // groups that lost each other meet again.
    std::vector<std::string> recipients(units::TimePoint now) const;

private:
    struct Entry
    {
        PeerUpdate news;
        units::TimePoint saidAt;
        bool hasSpoken = false;
        int transmitsLeft = 0; // rounds in which its change is still to be told
    };

    bool isLive(const Entry &entry, units::TimePoint now) const;
    bool isNewer(const PeerUpdate &news, const Entry &known, units::TimePoint now) const;
    PeerUpdate updateFor(const Entry &entry, units::TimePoint now) const;

    std::map<std::string, Entry> entries_; // by ip
    std::size_t spoken_ = 0; // entries that have spoken
};

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_PEERTABLE_H
