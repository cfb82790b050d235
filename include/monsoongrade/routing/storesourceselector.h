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

// Where this host reads next.
struct StoreSource
{
    enum class Kind : std::uint8_t {
        Store, // the platform's store
        Host, // a host that passes on what it reads there
        Wait, // nowhere for the time given in wait, then ask again
    };
    Kind kind = Kind::Store;
    std::string host; // IP of the host to ask
    // The host shall hold the call until it has the store again: no other host has it either.
    bool waitsForStore = false;
    // A list of the store may be some seconds old. It costs a tenth of a call there and proves
    // nothing about what is in force; the watch that follows does.
    bool mayBeStale = false;
    // Other hosts depend on what this one reads at the store.
    bool servesOtherHosts = false;
    // Of a host: all objects and not only those of this host's cell, since this one may have to
    // read for the others next.
    bool wantsAllObjects = false;
    units::Duration wait{};
};

// Decides where this host reads the platform's store, which charges for each call, answered or not.
//
// The load it answers: the store is away, or turns some hosts away, or the hosts that read for the
// others are lost. If each host then turned to the store by itself, calls would grow with the fleet
// just when the store is in trouble. Here only readers call it, a fixed number of them; the others
// go from one reader to the next, and only one that reaches no host at all calls the store.
//
// Who reads is worked out by each host from what the hosts say of themselves. A host that is asked
// though it is not a reader by its own count becomes one for a moment, so that the fleet does not
// wait until all have noticed that a reader is lost.
class StoreSourceSelector
{
public:
    // seedIps: hosts that the settings name; while a whole fleet starts they read for the others.
    StoreSourceSelector(std::string ownIp, const std::vector<std::string> &seedIps,
                        units::TimePoint startedAt);

    // Where to read next. hosts: all live hosts, this one included. hasContent: a list was read
    // before, so that only what changed since is needed.
    StoreSource next(const std::vector<PeerUpdate> &hosts, bool hasContent, units::TimePoint now);

    // What became of a call that next() sent to a host. provenAt: the time before which nothing is
    // missing there.
    void onHostAnswered(const std::string &host, units::TimePoint provenAt, units::TimePoint now);
    // The host answered that it has lost the store itself.
    void onHostWithoutStore(const std::string &host, units::TimePoint now);
    // No answer at all to a call that began at calledAt.
    void onHostTimeout(const std::string &host, units::TimePoint calledAt, units::TimePoint now);
    // What became of a call to the store. A stale list that fails is no sign of an outage.
    void onStoreAnswered();
    void onStoreFailed(units::TimePoint now);
    void onStaleListFailed() { isStaleListUseless_ = true; }
    // The endpoints are too many for each host to list them at the store.
    void markFleetLarge() { isFleetLarge_ = true; }
    // Another host asked this one for what it reads. False if this host can't have the store soon:
    // it has failed here for a while.
    bool onReadRequested(units::TimePoint now);

    // The store turned this host away a moment ago, though other hosts have it.
    bool isRefused(units::TimePoint now) const { return now < refusedUntil_; }
    // This host reads the store itself, as far as it knows, and will have it again after a failure.
    bool isReader() const { return isReader_; }

private:
    StoreSource whileStarting(const std::vector<PeerUpdate> &hosts, bool hasContent,
                              units::TimePoint now);
    StoreSource whileLargeFleetStarts(const std::vector<PeerUpdate> &hosts, bool hasContent,
                                      units::TimePoint now);
    StoreSource fromStore(const std::vector<PeerUpdate> &hosts, units::TimePoint now);
    StoreSource fromHosts(std::vector<std::string> readers, const std::vector<PeerUpdate> &hosts);
    bool standsBy(const std::vector<PeerUpdate> &hosts);
    bool shouldRead(const std::vector<std::string> &readers, units::TimePoint now) const;
    std::size_t readersNow(units::TimePoint now) const;
    void forgetOld(units::TimePoint now);

    std::string ownIp_;
    std::set<std::string> seeds_;
    units::TimePoint startedAt_;
    std::map<std::string, units::TimePoint> silentUntil_; // hosts that are not asked until then
    std::map<std::string, units::TimePoint> withoutStoreUntil_;
    int silentInRow_ = 0; // hosts that did not answer, none in between did
    units::TimePoint aloneUntil_{}; // no host answers: reads the store until then
    units::TimePoint askedUntil_{}; // reads for hosts that ask until then
    units::TimePoint refusedUntil_{};
    std::optional<units::TimePoint> nothingSince_; // neither the store nor a host answers
    int storeFailures_ = 0; // in a row
    units::TimePoint storeFailingSince_{};
    units::TimePoint nextProbeAt_{};
    bool isProbing_ = false;
    units::TimePoint probeEndsBy_{};
    bool isReader_ = false;
    bool isStaleListUseless_ = false;
    bool isFleetLarge_ = false;
    bool standsBy_ = false; // holds all objects, to read for the others when a reader is lost
};

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_STORESOURCESELECTOR_H
