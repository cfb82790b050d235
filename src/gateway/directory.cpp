#include <monsoongrade/gateway/directory.h>

#include <monsoongrade/units/stablehash.h>

#include <algorithm>

namespace monsoongrade::gateway {

namespace {

// A quarter of them can be stopped at once, and a caller still has several to try.
constexpr std::size_t MinHostsInDomain = 8;

std::uint64_t rankOf(const std::string &ip, const units::FailureDomain &callersDomain)
{
    return units::spreadHash({callersDomain.value(), ip});
}

std::vector<std::string> chooseAmong(const std::vector<routing::PeerUpdate> &hosts,
                                     const units::FailureDomain &callersDomain,
                                     std::size_t maxHosts)
{
    std::vector<std::string> all;
    std::vector<std::string> near;
    for (const routing::PeerUpdate &host : hosts) {
        all.push_back(host.ip);
        if (host.failureDomain == callersDomain)
            near.push_back(host.ip);
    }
    std::vector<std::string> &chosen = near.size() >= MinHostsInDomain ? near : all;
    if (chosen.size() > maxHosts) {
        std::sort(chosen.begin(), chosen.end(), [&](const auto &a, const auto &b) {
            return rankOf(a, callersDomain) < rankOf(b, callersDomain);
        });
        chosen.resize(maxHosts);
    }
    return chosen;
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
            return chooseAmong(found, callersDomain, maxHosts);
    }
    // All are leaving; this one still takes requests for a moment.
    return {own.ip};
}

} // namespace monsoongrade::gateway
