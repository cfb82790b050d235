#include <monsoongrade/routing/placinghosts.h>

#include <monsoongrade/units/stablehash.h>

#include <algorithm>
#include <tuple>

namespace monsoongrade::routing {

namespace {

// Hosts that start together do so within 0.3 s, and gossip tells ages to about 0.5 s.
constexpr auto SameAge = std::chrono::seconds(3);

std::uint64_t hashOf(const std::string &ip)
{
    units::StableHash hash;
    hash.add(ip);
    return hash.spread();
}

} // namespace

std::vector<std::string> placingOrder(std::vector<PeerNews> hosts)
{
    hosts.erase(
        std::remove_if(hosts.begin(), hosts.end(),
                       [](const PeerNews &host) { return host.state != PeerState::Serving; }),
        hosts.end());
    const auto ageOf = [](const PeerNews &host) {
        return host.uptime + host.age;
    };
    std::vector<std::string> order;
    while (!hosts.empty()) {
        int most = 0;
        for (const PeerNews &host : hosts)
            most = std::max(most, host.millicores);
        units::Duration oldest{};
        for (const PeerNews &host : hosts) {
            if (host.millicores == most)
                oldest = std::max(oldest, ageOf(host));
        }
        // Processor, then age, then the hash.
        const auto rank = [&](const PeerNews &host) {
            return std::make_tuple(host.millicores, ageOf(host) + SameAge >= oldest,
                                   hashOf(host.ip));
        };
        const auto next = std::max_element(
            hosts.begin(), hosts.end(),
            [&](const PeerNews &a, const PeerNews &b) { return rank(a) < rank(b); });
        order.push_back(next->ip);
        hosts.erase(next);
    }
    return order;
}

} // namespace monsoongrade::routing
