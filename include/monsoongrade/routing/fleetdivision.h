#ifndef MONSOONGRADE_ROUTING_FLEETDIVISION_H
#define MONSOONGRADE_ROUTING_FLEETDIVISION_H

#include <monsoongrade/units/ids.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace monsoongrade::routing {

// The cells of a fleet. A host uses, and the placing host of its cell decides over, the endpoints
// of its own cell only. So what one host holds and what one placing costs do not grow with the
// fleet. Only large pools are divided; of the others each host uses all endpoints.
//
// Hosts and endpoints belong to cells by hash, over all failure domains: the loss of a domain takes
// an equal part of each cell, and callers that move to other hosts spread over all cells.
class FleetDivision
{
public:
    // One cell.
    FleetDivision() = default;
    // Cells of the pools named; cells is 1 or more.
    FleetDivision(std::uint32_t cells, std::set<std::string> pools);

    std::uint32_t cells() const { return cells_; }
    // Names of the pools that are divided.
    const std::set<std::string> &pools() const { return pools_; }
    // The cell of the host, from 0.
    std::uint32_t cellOf(const std::string &hostIp) const;
    bool isDivided(const units::PoolName &pool) const;
    // True if hosts of the cell use the endpoint.
    bool isUsedIn(std::uint32_t cell, const units::PoolName &pool,
                  const units::EndpointId &endpoint) const;
    // Equal for equal divisions on all hosts.
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

// The division for pools of these sizes. present is kept while its cells are neither too large nor
// much too small, so that it does not change with each endpoint.
FleetDivision divideFleet(const std::map<std::string, std::size_t> &endpointsByPool,
                          const FleetDivision &present);

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_FLEETDIVISION_H
