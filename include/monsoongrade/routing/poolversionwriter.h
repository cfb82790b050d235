#ifndef MONSOONGRADE_ROUTING_POOLVERSIONWRITER_H
#define MONSOONGRADE_ROUTING_POOLVERSIONWRITER_H

#include <monsoongrade/routing/peertable.h>
#include <monsoongrade/routing/poolversions.h>
#include <monsoongrade/routing/poolversionstore.h>

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace monsoongrade::routing {

// Hosts that write the pools' versions to the store. One suffices unless it is out of step.
constexpr std::size_t VersionWriters = 3;

// IPs of the hosts that write versions to the store, in order: the first by IP of those that reach
// it and are not about to stop.
std::vector<std::string> versionWriters(const std::vector<PeerUpdate> &hosts);

// Decides what this host writes about the versions of pools. A version is added when it appears,
// and removed once it has been absent for as long as streams are resumed. Each writer writes after
// an appearance, also if the version is stored: a host that has not seen it yet may be about to
// remove it, and its write fails then.
class PoolVersionWriter
{
public:
    struct Step
    {
        bool mustRead = false; // before anything can be written
        AllStoredPoolVersions writes;
    };

    // rank: position among versionWriters(); nullopt: this host is none. pools: those with
    // streams that may be resumed.
    Step next(const PoolVersions &seen, const std::set<units::PoolName> &pools,
              std::optional<std::size_t> rank, units::TimePoint now);
    // startedAt: when the read was begun. now: when it ended.
    void onRead(AllStoredPoolVersions stored, units::TimePoint startedAt, units::TimePoint now);
    void onWritten(const units::PoolName &pool, StoredPoolVersions written);
    // The store may hold another state than is known here.
    void onWriteFailed() { stored_.reset(); }

private:
    std::set<units::SoftwareVersion> removable(const units::PoolName &pool,
                                               const PoolVersions &seen,
                                               const PoolVersions::Recent &recent,
                                               units::TimePoint now);

    std::optional<AllStoredPoolVersions> stored_; // empty: must be read
    units::TimePoint readAt_;
    // When this host found the version in the store.
    std::map<units::PoolName, std::map<units::SoftwareVersion, units::TimePoint>> knownSince_;
    // When this host, as the first writer, found the version to be absent.
    std::map<units::PoolName, std::map<units::SoftwareVersion, units::TimePoint>> absentSince_;
    // Appearances up to this time have been written.
    std::map<units::PoolName, units::TimePoint> writtenUntil_;
    std::map<units::PoolName, units::TimePoint> writing_;
};

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_POOLVERSIONWRITER_H
