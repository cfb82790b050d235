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

// The endpoints that requests may go to, as the platform's store lists them. Knows nothing of
// how the list is read.
class EndpointRegistry
{
public:
    using Status = std::shared_ptr<EndpointStatus>;
    // Called when an endpoint stops taking new requests, so that idle connections can be closed.
    using OnLeaving = std::function<void(const EndpointStatus &)>;

    explicit EndpointRegistry(OnLeaving onLeaving = {});

    // The whole list, read just now. An endpoint that is not in it is gone. While entries may be
    // missing only because the store was away, missing ones are kept until keepMissingUntil.
    void replaceAll(const std::vector<DiscoveredEndpoint> &listed, units::TimePoint now,
                    units::TimePoint keepMissingUntil);
    // One entry was written.
    void update(const DiscoveredEndpoint &endpoint);
    // One entry was removed.
    void remove(const units::EndpointId &id, units::TimePoint now,
                units::TimePoint keepMissingUntil);
    // Drops the kept entries whose time is over.
    void removeExpired(units::TimePoint now);

    // From now on only the endpoints of this cell are available.
    void setDivision(FleetDivision division, std::uint32_t ownCell);
    const FleetDivision &division() const { return division_; }

    // Endpoints of the pool that take new requests by the store's word and belong to this host's
    // cell, in the order of their ids. Valid until the next change of the registry.
    const std::vector<Status> &available(const units::PoolName &pool) const;
    // Null if no such endpoint is available.
    Status findAvailable(const units::EndpointId &id) const;
    // All of the pool's endpoints that are listed, leaving ones too.
    std::vector<DiscoveredEndpoint> listed(const units::PoolName &pool) const;
    // Null if this process of the endpoint is not listed.
    Status find(const EndpointInstance &endpoint) const;
    std::size_t size() const { return entries_.size(); }
    // Listed endpoints of each pool that has any.
    const std::map<std::string, std::size_t> &sizes() const { return sizes_; }
    // Counts the endpoints that changes of single ones have looked at.
    const units::WorkCount &work() const { return work_; }

private:
    struct Entry
    {
        Status status;
        units::TimePoint keepUntil; // of a missing one
    };

    void leave(Entry &entry);
    void miss(const std::string &id, Entry &entry, units::TimePoint now,
              units::TimePoint keepMissingUntil);
    std::vector<Status>::iterator placeIn(std::vector<Status> &available,
                                          const units::EndpointId &id);
    bool isInOwnCell(const EndpointStatus &status) const;
    void countIn(const units::PoolName &pool);
    void countOut(const units::PoolName &pool);
    void addAvailable(const Status &status);
    void removeAvailable(const Status &status);

    OnLeaving onLeaving_;
    std::map<std::string, Entry> entries_; // by endpoint id
    std::set<std::string> missing_; // ids of entries that are kept for a while
    std::map<std::string, std::vector<Status>> available_; // by pool
    std::map<std::string, std::size_t> sizes_; // by pool
    FleetDivision division_;
    std::uint32_t ownCell_ = 0;
    units::WorkCount work_;
};

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_ENDPOINTREGISTRY_H
