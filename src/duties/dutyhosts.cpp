#include <monsoongrade/duties/dutyhosts.h>

#include <monsoongrade/routing/storereaders.h>

#include <algorithm>

namespace monsoongrade::duties {

namespace {

constexpr std::size_t MaxCandidates = 3;

} // namespace

std::vector<std::string> dutyCandidates(const std::vector<routing::PeerUpdate> &hosts)
{
    return routing::storeReaders(hosts, MaxCandidates);
}

std::vector<std::string> usageCollectors(const std::vector<routing::PeerUpdate> &hosts)
{
    std::vector<std::string> collectors;
    std::uint64_t newest = 0;
    for (const routing::PeerUpdate &host : hosts) {
        if (host.dutyToken > newest) {
            newest = host.dutyToken;
            collectors = {host.ip};
        }
    }
    for (const std::string &ip : dutyCandidates(hosts)) {
        if (std::find(collectors.begin(), collectors.end(), ip) == collectors.end())
            collectors.push_back(ip);
    }
    return collectors;
}

} // namespace monsoongrade::duties
