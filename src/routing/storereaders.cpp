#include <monsoongrade/routing/storereaders.h>

#include <monsoongrade/units/stablehash.h>

#include <algorithm>
#include <map>
#include <string_view>
#include <tuple>

namespace monsoongrade::routing {

namespace {

// Gossip about a host reaches all others within about a second, also in a large fleet.
constexpr auto KnownFleetWideAfter = std::chrono::milliseconds(3000);

std::uint64_t hashOf(const std::string &ip)
{
    return units::spreadHash({"store-reader", ip});
}

// Sort key, ascending: refused by the store, recently started, negated CPU, hash, IP.
using Candidate = std::tuple<bool, bool, int, std::uint64_t, std::string_view>;

Candidate candidate(const PeerUpdate &host)
{
    return {host.isStoreRefused, !isKnownFleetWide(host), -host.millicores, hashOf(host.ip),
            host.ip};
}

units::FailureDomain domainOf(const std::string &ip, const std::vector<PeerUpdate> &hosts)
{
    const auto host = std::find_if(hosts.begin(), hosts.end(),
                                   [&](const PeerUpdate &each) { return each.ip == ip; });
    return host == hosts.end() ? units::FailureDomain() : host->failureDomain;
}

} // namespace

bool isKnownFleetWide(const PeerUpdate &host)
{
    return host.uptime + host.age >= KnownFleetWideAfter;
}

std::vector<std::string> storeReaders(const std::vector<PeerUpdate> &hosts, std::size_t count,
                                      const std::set<std::string> &without)
{
    std::map<units::FailureDomain, std::vector<Candidate>> domains;
    for (const PeerUpdate &host : hosts) {
        if (host.state != PeerState::Leaving && without.count(host.ip) == 0)
            domains[host.failureDomain].push_back(candidate(host));
    }
    // The best of each domain, then the second of each, and so on.
    std::vector<std::tuple<bool, bool, std::size_t, Candidate>> ranked;
    for (auto &[domain, ofDomain] : domains) {
        const std::size_t best = std::min(count, ofDomain.size());
        std::partial_sort(ofDomain.begin(), ofDomain.begin() + std::ptrdiff_t(best),
                          ofDomain.end());
        for (std::size_t rank = 0; rank < best; ++rank) {
            const Candidate &each = ofDomain[rank];
            ranked.emplace_back(std::get<0>(each), std::get<1>(each), rank, each);
        }
    }
    std::sort(ranked.begin(), ranked.end());
    ranked.resize(std::min(ranked.size(), count));
    std::vector<std::string> readers;
    readers.reserve(ranked.size());
    for (const auto &reader : ranked)
        readers.emplace_back(std::get<std::string_view>(std::get<Candidate>(reader)));
    return readers;
}

std::vector<std::string> readerOrder(const std::string &ownIp, std::vector<std::string> readers,
                                     const std::vector<PeerUpdate> &hosts)
{
    const units::FailureDomain ownDomain = domainOf(ownIp, hosts);
    const auto firstRemote
        = std::stable_partition(readers.begin(), readers.end(), [&](const std::string &ip) {
              return domainOf(ip, hosts) == ownDomain;
          });
    const auto spread = [&](auto begin, auto end) {
        if (begin != end)
            std::rotate(begin, begin + std::ptrdiff_t(hashOf(ownIp) % std::size_t(end - begin)),
                        end);
    };
    spread(readers.begin(), firstRemote);
    spread(firstRemote, readers.end());
    return readers;
}

} // namespace monsoongrade::routing
