#include <monsoongrade/routing/storereaders.h>

#include <monsoongrade/units/stablehash.h>

#include <algorithm>
#include <tuple>

namespace monsoongrade::routing {

namespace {

// Below this, the calls of all hosts cost less than 1 in 100 of what the answers are worth, and
// each host's own view of the store is worth more.
constexpr std::size_t MaxHostsThatAllRead = 10;
constexpr std::size_t MinReaders = 4;
// One reader serves 15 others with about 20 calls a second, some 2 ms of processor.
constexpr std::size_t HostsPerReader = 16;

std::uint64_t hashOf(const std::string &ip)
{
    units::StableHash hash;
    hash.add("store-reader");
    hash.add(ip);
    return hash.spread();
}

} // namespace

std::vector<std::string> storeReaders(const std::vector<PeerNews> &hosts)
{
    if (hosts.size() <= MaxHostsThatAllRead)
        return {};
    std::vector<std::tuple<int, std::uint64_t, std::string>> ranked;
    for (const PeerNews &host : hosts) {
        if (host.state == PeerState::Serving)
            ranked.emplace_back(-host.millicores, hashOf(host.ip), host.ip);
    }
    std::sort(ranked.begin(), ranked.end());
    ranked.resize(std::min(ranked.size(), std::max(MinReaders, hosts.size() / HostsPerReader)));
    std::vector<std::string> readers;
    readers.reserve(ranked.size());
    for (const auto &reader : ranked)
        readers.push_back(std::get<std::string>(reader));
    return readers;
}

std::string readerFor(const std::string &ownIp, const std::vector<PeerNews> &hosts)
{
    std::vector<std::string> readers = storeReaders(hosts);
    if (std::find(readers.begin(), readers.end(), ownIp) != readers.end())
        return {};
    const auto domainOf = [&](const std::string &ip) {
        const auto host = std::find_if(hosts.begin(), hosts.end(),
                                       [&](const PeerNews &each) { return each.ip == ip; });
        return host == hosts.end() ? units::FailureDomain() : host->failureDomain;
    };
    const units::FailureDomain ownDomain = domainOf(ownIp);
    const auto farBegin
        = std::stable_partition(readers.begin(), readers.end(),
                                [&](const std::string &ip) { return domainOf(ip) == ownDomain; });
    if (farBegin != readers.begin())
        readers.erase(farBegin, readers.end());
    return readers.empty() ? std::string() : readers[hashOf(ownIp) % readers.size()];
}

} // namespace monsoongrade::routing
