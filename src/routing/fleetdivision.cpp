#include <monsoongrade/routing/fleetdivision.h>

#include <monsoongrade/units/stablehash.h>

#include <algorithm>

namespace monsoongrade::routing {

namespace {

// A placing host with an eighth of a core decides over so many for each of 40 requests a second.
constexpr std::size_t MaxEndpointsInCell = 640;
// The number of cells is halved when cells have become this small.
constexpr std::size_t MinEndpointsInCell = 160;

std::uint32_t partOf(std::string_view name, std::uint32_t parts)
{
    return std::uint32_t((units::spreadHash({"cell", name}) >> 32) % parts);
}

std::uint32_t cellsFor(std::size_t endpoints)
{
    std::uint32_t cells = 1;
    while (endpoints > cells * MaxEndpointsInCell)
        cells *= 2;
    return cells;
}

bool isStillFitting(std::size_t endpoints, std::uint32_t cells)
{
    return endpoints <= cells * MaxEndpointsInCell
        && (cells == 1 || endpoints >= cells * MinEndpointsInCell);
}

} // namespace

FleetDivision::FleetDivision(std::uint32_t cells, std::set<std::string> pools)
    : cells_(std::max(cells, 1U))
    , pools_(std::move(pools))
{
}

std::uint32_t FleetDivision::cellOf(const std::string &hostIp) const
{
    return partOf(hostIp, cells_);
}

bool FleetDivision::isDivided(const units::PoolName &pool) const
{
    return cells_ > 1 && pools_.count(pool.value()) != 0;
}

bool FleetDivision::isUsedIn(std::uint32_t cell, const units::PoolName &pool,
                             const units::EndpointId &endpoint) const
{
    return !isDivided(pool) || partOf(endpoint.value(), cells_) == cell;
}

std::uint64_t FleetDivision::fingerprint() const
{
    units::StableHash hash;
    hash.add(std::uint64_t(cells_));
    for (const std::string &pool : pools_) {
        hash.add(pool);
        hash.add(std::uint64_t(pool.size()));
    }
    return hash.spread();
}

FleetDivision divideFleet(const std::map<std::string, std::size_t> &endpointsByPool,
                          const FleetDivision &present)
{
    std::size_t largest = 0;
    for (const auto &[pool, endpoints] : endpointsByPool)
        largest = std::max(largest, endpoints);
    const std::uint32_t cells
        = isStillFitting(largest, present.cells()) ? present.cells() : cellsFor(largest);
    std::set<std::string> divided;
    for (const auto &[pool, endpoints] : endpointsByPool) {
        const bool isLarge = endpoints > MaxEndpointsInCell
            || (present.pools().count(pool) != 0 && endpoints >= MinEndpointsInCell);
        if (cells > 1 && isLarge)
            divided.insert(pool);
    }
    return {cells, std::move(divided)};
}

} // namespace monsoongrade::routing
