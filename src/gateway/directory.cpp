#include <monsoongrade/gateway/directory.h>

#include <monsoongrade/units/stablehash.h>

#include <algorithm>

namespace monsoongrade::gateway {

namespace {

// Leaves a caller several hosts to try while a quarter of them is stopped at once.
constexpr std::size_t MinHostsInDomain = 8;
// If fewer hosts reach the endpoints, they would not have enough connections for all callers.
// Hosts that pass requests to them need far fewer.
constexpr std::size_t MaxHostsPerReachingHost = 4;

std::uint64_t rankOf(const std::string &ip, const units::FailureDomain &callersDomain)
{
    return units::spreadHash({callersDomain.value(), ip});
}

std::vector<std::string> selectHosts(const std::vector<routing::PeerUpdate> &hosts,
                                     const units::FailureDomain &callersDomain,
                                     std::size_t maxHosts)
{
    std::vector<std::string> all;
    std::vector<std::string> inDomain;
    for (const routing::PeerUpdate &host : hosts) {
        all.push_back(host.ip);
        if (host.failureDomain == callersDomain)
            inDomain.push_back(host.ip);
    }
    std::vector<std::string> &chosen = inDomain.size() >= MinHostsInDomain ? inDomain : all;
    if (chosen.size() > maxHosts) {
        std::sort(chosen.begin(), chosen.end(), [&](const auto &a, const auto &b) {
            return rankOf(a, callersDomain) < rankOf(b, callersDomain);
        });
        chosen.resize(maxHosts);
    }
    return chosen;
}

// Hosts that reach all pools, or all hosts if those are too few. The others serve requests as well,
// but through these.
std::vector<routing::PeerUpdate> preferReaching(std::vector<routing::PeerUpdate> hosts)
{
    const auto firstWithout
        = std::stable_partition(hosts.begin(), hosts.end(), [](const routing::PeerUpdate &host) {
              return host.unreachablePools.empty();
          });
    const auto reaching = std::size_t(firstWithout - hosts.begin());
    if (reaching * MaxHostsPerReachingHost >= hosts.size())
        hosts.erase(firstWithout, hosts.end());
    return hosts;
}

} // namespace

std::vector<std::string> hostsForCallers(const routing::PeerUpdate &own,
                                         const std::vector<routing::PeerUpdate> &live,
                                         const units::FailureDomain &callersDomain,
                                         std::size_t maxHosts)
{
    for (const routing::PeerState wanted :
         {routing::PeerState::Serving, routing::PeerState::NotReady}) {
        std::vector<routing::PeerUpdate> found;
        if (own.state == wanted)
            found.push_back(own);
        std::copy_if(live.begin(), live.end(), std::back_inserter(found),
                     [wanted](const routing::PeerUpdate &peer) { return peer.state == wanted; });
        if (!found.empty())
            return selectHosts(preferReaching(std::move(found)), callersDomain, maxHosts);
    }
    // All hosts are leaving; this one still accepts requests for a short time.
    return {own.ip};
}

} // namespace monsoongrade::gateway
