#ifndef MONSOONGRADE_ROUTING_FLEETDIVISION_H
#define MONSOONGRADE_ROUTING_FLEETDIVISION_H

#include <monsoongrade/units/ids.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace monsoongrade::routing {

// Division of a fleet into cells. A host uses only the endpoints of its own cell, and the placement
// coordinator of a cell places requests only on them, so the state of a host and the cost of one
// placement do not grow with the fleet. Only large pools are divided; in the others each host uses
// all endpoints.
//
// Hosts and endpoints are assigned to cells by hash, across all failure domains: the loss of a
// domain removes an equal part of each cell, and callers that move to other hosts spread over all
// cells.
class FleetDivision
{
public:
    // A single cell.
    FleetDivision() = default;
    // Divides these pools into cells; cells is 1 or more.
    FleetDivision(std::uint32_t cells, std::set<std::string> pools);

    std::uint32_t cells() const { return cells_; }
    // Names of the pools that are divided.
    const std::set<std::string> &pools() const { return pools_; }
    // Cell of the host, counted from 0.
    std::uint32_t cellOf(const std::string &hostIp) const;
    bool isDivided(const units::PoolName &pool) const;
    // Whether hosts of the cell use the endpoint.
    bool isUsedIn(std::uint32_t cell, const units::PoolName &pool,
                  const units::EndpointId &endpoint) const;
    // The same on all hosts for equal divisions.
    std::uint64_t fingerprint() const;

    friend bool operator==(const FleetDivision &a, const FleetDivision &b)
    {
        return a.cells_ == b.cells_ && a.pools_ == b.pools_;
    }
    friend bool operator!=(const FleetDivision &a, const FleetDivision &b) { return !(a == b); }

private:
    std::uint32_t cells_ = 1;
    std::set<std::string> pools_;
};

// Division for pools of these sizes. Keeps the current one while its cells are neither too large
// nor much too small, so that it does not change with each endpoint.
FleetDivision divideFleet(const std::map<std::string, std::size_t> &endpointsByPool,
                          const FleetDivision &current);

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_FLEETDIVISION_H
