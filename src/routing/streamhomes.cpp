#include <monsoongrade/routing/streamhomes.h>

#include <monsoongrade/units/stablehash.h>

#include <algorithm>
#include <cstdint>
#include <utility>

namespace monsoongrade::routing {

std::vector<std::string> streamHomes(const StreamIdentity &stream,
                                     const std::vector<PeerUpdate> &otherHosts, std::size_t count)
{
    std::vector<std::pair<std::uint64_t, const std::string *>> ranked;
    ranked.reserve(otherHosts.size());
    for (const PeerUpdate &host : otherHosts) {
        if (host.state != PeerState::Leaving && host.state != PeerState::Lost)
            ranked.emplace_back(units::spreadHash({stream.request.value(), host.ip}), &host.ip);
    }
    const std::size_t selected = std::min(count, ranked.size());
    const auto last = ranked.begin() + std::ptrdiff_t(selected);
    std::partial_sort(ranked.begin(), last, ranked.end(), std::greater<>());
    std::vector<std::string> homes;
    homes.reserve(selected);
    for (auto host = ranked.begin(); host != last; ++host)
        homes.push_back(*host->second);
    return homes;
}

} // namespace monsoongrade::routing
