#ifndef MONSOONGRADE_ROUTING_STORESOURCESELECTOR_H
#define MONSOONGRADE_ROUTING_STORESOURCESELECTOR_H

#include <monsoongrade/routing/peertable.h>
#include <monsoongrade/routing/storereaders.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace monsoongrade::routing {

// Where this host reads the store's objects next.
struct StoreSource
{
    enum class Kind : std::uint8_t {
        Store, // the platform's store
        Host, // another host that relays what it reads from the store
        Wait, // nowhere; call next() again after the time given in wait
    };
    Kind kind = Kind::Store;
    std::string host; // IP of the host to call
    // The host is to hold the call until it reaches the store again: no host reaches it now.
    bool waitsForStore = false;
    // The list may be some seconds stale. A stale list costs a tenth of a call and does not prove
    // that the configuration is current; the watch that follows does.
    bool mayBeStale = false;
    // Other hosts depend on what this one reads from the store.
    bool servesOtherHosts = false;
    // For Kind::Host: request all objects, not only those of this host's cell, since this host may
    // have to take over as a reader.
    bool wantsAllObjects = false;
    units::Duration wait{};
};

// Selects where this host reads the platform's store, which charges for each call, answered or not.
//
// Bounds the store's calls when the store is unavailable, refuses some hosts, or the hosts that
// read for the others are lost. If each host then called the store, calls would grow with the
// fleet just when the store has a fault. Only a fixed number of readers call it; the other hosts
// try one reader after another, and only a host that reaches no other host calls the store itself.
//
// Each host computes the readers from the gossiped state of the fleet. A host that is called
// although it does not count itself as a reader becomes one for a short time, so that the fleet
// need not wait until every host has noticed the loss of a reader.
class StoreSourceSelector
{
public:
    // seedIps: the configured seed hosts, which are the readers while a whole fleet starts.
    StoreSourceSelector(std::string ownIp, const std::vector<std::string> &seedIps,
                        units::TimePoint startedAt);

    // Where to read next. hosts: all live hosts including this one. hasContent: a list was read
    // before, so only later changes are needed.
    StoreSource next(const std::vector<PeerUpdate> &hosts, bool hasContent, units::TimePoint now);

    // Results of a call to a host that next() returned. currentAsOf: the time up to which the
    // host's content is known to be complete.
    void onHostAnswered(const std::string &host, units::TimePoint currentAsOf,
                        units::TimePoint now);
    // The host responded that it can't reach the store itself.
    void onHostWithoutStore(const std::string &host, units::TimePoint now);
    // No response to a call that began at calledAt.
    void onHostTimeout(const std::string &host, units::TimePoint calledAt, units::TimePoint now);
    // Results of a call to the store. A failed stale list does not indicate an outage.
    void onStoreAnswered();
    void onStoreFailed(units::TimePoint now);
    void onStaleListFailed() { isStaleListUseless_ = true; }
    // There are too many endpoints for each host to list them from the store.
    void markFleetLarge() { isFleetLarge_ = true; }
    // Another host requested what this one reads. False if the store has failed here for a while,
    // so that it can't be expected back soon.
    bool onReadRequested(units::TimePoint now);

    // The store recently refused this host, although other hosts reach it.
    bool isRefused(units::TimePoint now) const { return now < refusedUntil_; }
    // True if this host reads the store itself, also while its calls fail for a time.
    bool isReader() const { return isReader_; }

private:
    StoreSource nextDuringStartup(const std::vector<PeerUpdate> &hosts, bool hasContent,
                                  units::TimePoint now);
    StoreSource nextDuringLargeFleetStartup(const std::vector<PeerUpdate> &hosts, bool hasContent,
                                            units::TimePoint now);
    StoreSource fromStore(const std::vector<PeerUpdate> &hosts, units::TimePoint now);
    StoreSource fromHosts(std::vector<std::string> readers, const std::vector<PeerUpdate> &hosts);
    bool isStandby(const std::vector<PeerUpdate> &hosts);
    void onStoreServesOthers(units::TimePoint now);
    bool shouldBeReader(const std::vector<std::string> &readers, units::TimePoint now) const;
    std::size_t readerCount(units::TimePoint now) const;
    void removeExpired(units::TimePoint now);

    std::string ownIp_;
    std::set<std::string> seeds_;
    units::TimePoint startedAt_;
    std::map<std::string, units::TimePoint> unresponsiveUntil_; // hosts to skip until then
    std::map<std::string, units::TimePoint> withoutStoreUntil_;
    int consecutiveTimeouts_ = 0; // consecutive hosts that did not respond
    units::TimePoint isolatedUntil_{}; // no host is reachable: reads the store until then
    units::TimePoint requestedUntil_{}; // was called as a reader: reads the store until then
    units::TimePoint refusedUntil_{};
    std::optional<units::TimePoint> unreachableSince_; // neither store nor host reachable
    int storeFailures_ = 0; // consecutive
    units::TimePoint storeFailingSince_{};
    units::TimePoint storeFailedAt_{}; // the last time
    // Another host reached the store while calls of this host failed.
    std::optional<units::TimePoint> servesOthersSince_;
    units::TimePoint nextProbeAt_{};
    bool isProbing_ = false;
    units::TimePoint probeTimeoutAt_{};
    bool isReader_ = false;
    bool isStaleListUseless_ = false;
    bool isFleetLarge_ = false;
    bool isStandby_ = false; // holds all objects, to take over when a reader is lost
};

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_STORESOURCESELECTOR_H
