#ifndef MONSOONGRADE_ROUTING_PEERTABLE_H
#define MONSOONGRADE_ROUTING_PEERTABLE_H

#include <monsoongrade/units/clock.h>
#include <monsoongrade/units/ids.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace monsoongrade::routing {

enum class PeerState : std::uint8_t {
    Serving, // takes requests
    Waiting, // runs, but has no usable configuration
    Leaving, // stops soon
};

// What one host says of itself, with the age that the news has here.
struct PeerNews
{
    std::string ip;
    units::FailureDomain failureDomain;
    PeerState state = PeerState::Waiting;
    units::Duration age{}; // since the host itself said it
    units::Duration uptime{}; // of its process, when it said it
    units::Duration storeFor{}; // how long it has had the store without a break, when it said it
    int millicores = 0; // thousandths of a processor core that it may use
    // The store turned it away a moment ago, though other hosts have the store.
    bool isStoreRefused = false;
    // Fencing token of the duties' lease while the host holds it; 0 otherwise.
    std::uint64_t dutyToken = 0;
};

// The other hosts, learned from each other: each tells some others what it knows with its age.
// Decides nothing by wall clocks, only by ages on this host's clock.
class PeerTable
{
public:
    // Adds addresses that may be hosts, from the settings. They count as hosts once they speak.
    void addSeed(const std::string &ip);
    // News that arrived just now. Older news than what is known changes nothing.
    void hear(const PeerNews &news, units::TimePoint now);

    // True if the host was heard of recently enough to be taken for running.
    bool isLive(const std::string &ip, units::TimePoint now) const;
    // Hosts heard of recently enough to be taken for running, this host not included.
    std::vector<PeerNews> live(units::TimePoint now) const;
    // Addresses to tell the own state to: live hosts first, and seeds and lost hosts so that two
    // groups that lost each other meet again.
    std::vector<std::string> addressees(units::TimePoint now) const;

private:
    struct Entry
    {
        PeerNews news;
        units::TimePoint saidAt;
        bool hasSpoken = false;
    };

    bool isLive(const Entry &entry, units::TimePoint now) const;

    std::map<std::string, Entry> entries_; // by ip
};

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_PEERTABLE_H
