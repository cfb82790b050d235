#ifndef MONSOONGRADE_ROUTING_ENDPOINTREGISTRY_H
#define MONSOONGRADE_ROUTING_ENDPOINTREGISTRY_H

#include <monsoongrade/routing/endpointinstance.h>
#include <monsoongrade/routing/endpointstatus.h>
#include <monsoongrade/routing/fleetdivision.h>
#include <monsoongrade/units/workcount.h>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace monsoongrade::routing {

// The endpoints that can receive requests, as listed in the platform's store. Independent of how
// the list is read.
class EndpointRegistry
{
public:
    using Status = std::shared_ptr<EndpointStatus>;
    using SoftwareVersions = std::map<units::PoolName, std::set<units::SoftwareVersion>>;
    // Called when an endpoint stops accepting new requests, so that idle connections can be closed.
    using OnLeaving = std::function<void(const EndpointStatus &)>;

    // Whether the instance has announced by itself that it is leaving. The store may list it as
    // ready until long after. Called for each entry that is read.
    using HasAnnouncedLeaving = std::function<bool(const EndpointInstance &)>;

    explicit EndpointRegistry(OnLeaving onLeaving = {},
                              HasAnnouncedLeaving hasAnnouncedLeaving = {});

    // Replaces all entries by a complete list that was just read. Endpoints that are not in it are
    // removed. If entries may be missing only because of a store outage, missing ones are kept
    // until keepMissingUntil.
    void replaceAll(const std::vector<DiscoveredEndpoint> &listed, units::TimePoint now,
                    units::TimePoint keepMissingUntil);
    // One entry was created or changed in the store. An endpoint that is listed with another start
    // keeps its rate limiter, since it may still be the same process.
    void update(const DiscoveredEndpoint &endpoint);
    // One entry was removed from the store.
    void remove(const units::EndpointId &id, units::TimePoint now,
                units::TimePoint keepMissingUntil);
    // An instance of the endpoint has announced by itself that it is leaving.
    void onLeavingAnnounced(const units::EndpointId &id);
    // Makes endpoints available again whose announcement of leaving no longer holds.
    void restoreUnannounced();
    // Removes the missing entries whose retention time has expired.
    void removeExpired(units::TimePoint now);

    // From now on only the endpoints of ownCell are available.
    void setDivision(FleetDivision division, std::uint32_t ownCell);
    const FleetDivision &division() const { return division_; }

    // Endpoints of the pool that accept new requests according to the store and belong to this
    // host's cell, ordered by id. Valid until the registry changes.
    const std::vector<Status> &available(const units::PoolName &pool) const;
    // Null if the endpoint is not available.
    Status findAvailable(const units::EndpointId &id) const;
    // All listed endpoints of the pool, including leaving ones.
    std::vector<DiscoveredEndpoint> listed(const units::PoolName &pool) const;
    // Null if this instance of the endpoint is not listed.
    Status find(const EndpointInstance &endpoint) const;
    std::size_t size() const { return entries_.size(); }
    // The software versions of the listed endpoints, by pool.
    SoftwareVersions softwareVersions() const;
    // Number of listed endpoints of each pool that has any.
    const std::map<std::string, std::size_t> &sizes() const { return sizes_; }
    // Counts the endpoints examined by changes of single entries.
    const units::WorkCount &work() const { return work_; }

private:
    struct Entry
    {
        Status status;
        units::TimePoint keepUntil; // set for missing entries
    };

    bool hasAnnouncedLeaving(const DiscoveredEndpoint &endpoint) const;
    void markLeaving(Entry &entry);
    void markMissing(const std::string &id, Entry &entry, units::TimePoint now,
                     units::TimePoint keepMissingUntil);
    std::vector<Status>::iterator positionIn(std::vector<Status> &available,
                                             const units::EndpointId &id);
    bool isInOwnCell(const EndpointStatus &status) const;
    void incrementSize(const units::PoolName &pool);
    void decrementSize(const units::PoolName &pool);
    void addAvailable(const Status &status);
    void removeAvailable(const Status &status);

    OnLeaving onLeaving_;
    HasAnnouncedLeaving hasAnnouncedLeaving_;
    std::map<std::string, Entry> entries_; // by endpoint id
    std::set<std::string> missing_; // ids of missing entries that are still kept
    std::set<std::string> announced_; // ids of those that are leaving by their announcement alone
    std::map<std::string, std::vector<Status>> available_; // by pool
    std::map<std::string, std::size_t> sizes_; // by pool
    FleetDivision division_;
    std::uint32_t ownCell_ = 0;
    units::WorkCount work_;
};

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_ENDPOINTREGISTRY_H
