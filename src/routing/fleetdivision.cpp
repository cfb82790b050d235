#include <monsoongrade/routing/fleetdivision.h>

#include <monsoongrade/units/stablehash.h>

#include <algorithm>

namespace monsoongrade::routing {

namespace {

// A coordinator with an eighth of a core can evaluate this many for each of 40 requests a second.
constexpr std::size_t MaxEndpointsInCell = 640;
// The number of cells is reduced when cells become smaller than this.
constexpr std::size_t MinEndpointsInCell = 160;

std::uint32_t cellFor(std::string_view name, std::uint32_t cells)
{
    return std::uint32_t((units::spreadHash({"cell", name}) >> 32) % cells);
}

std::uint32_t cellCountFor(std::size_t endpoints)
{
    std::uint32_t cells = 1;
    while (endpoints > cells * MaxEndpointsInCell)
        cells *= 2;
    return cells;
}

bool isCellCountSuitable(std::size_t endpoints, std::uint32_t cells)
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
    return cellFor(hostIp, cells_);
}

bool FleetDivision::isDivided(const units::PoolName &pool) const
{
    return cells_ > 1 && pools_.count(pool.value()) != 0;
}

bool FleetDivision::isUsedIn(std::uint32_t cell, const units::PoolName &pool,
                             const units::EndpointId &endpoint) const
{
    return !isDivided(pool) || cellFor(endpoint.value(), cells_) == cell;
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
                          const FleetDivision &current)
{
    std::size_t largest = 0;
    for (const auto &[pool, endpoints] : endpointsByPool)
        largest = std::max(largest, endpoints);
    const std::uint32_t cells
        = isCellCountSuitable(largest, current.cells()) ? current.cells() : cellCountFor(largest);
    std::set<std::string> divided;
    for (const auto &[pool, endpoints] : endpointsByPool) {
        const bool isLarge = endpoints > MaxEndpointsInCell
            || (current.pools().count(pool) != 0 && endpoints >= MinEndpointsInCell);
        if (cells > 1 && isLarge)
            divided.insert(pool);
    }
    return {cells, std::move(divided)};
}

} // namespace monsoongrade::routing
