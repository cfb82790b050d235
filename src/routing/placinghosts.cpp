#include <monsoongrade/routing/placinghosts.h>

#include <monsoongrade/units/stablehash.h>

#include <algorithm>
#include <queue>

namespace monsoongrade::routing {

namespace {

// Hosts of one deployment start within 0.3 s, and gossip reports uptimes to about 0.5 s.
constexpr auto AgeTolerance = std::chrono::seconds(3);

struct Candidate
{
    const PeerUpdate *host = nullptr;
    units::Duration age{};
    std::uint64_t hash = 0;
};

std::vector<Candidate> servingHosts(const std::vector<PeerUpdate> &hosts)
{
    std::vector<Candidate> serving;
    for (const PeerUpdate &host : hosts) {
        if (host.state == PeerState::Serving)
            serving.push_back({&host, host.uptime + host.age, units::spreadHash({host.ip})});
    }
    return serving;
}

bool ranksBefore(const Candidate &a, const Candidate &b)
{
    if (a.host->millicores != b.host->millicores)
        return a.host->millicores > b.host->millicores;
    return a.age > b.age;
}

} // namespace

std::vector<std::string> rankCoordinators(const std::vector<PeerUpdate> &hosts,
                                          units::WorkCount &work)
{
    std::vector<Candidate> serving = servingHosts(hosts);
    std::sort(serving.begin(), serving.end(), [&](const Candidate &a, const Candidate &b) {
        work.add();
        return ranksBefore(a, b);
    });
    const auto hasSmallerHash = [&](std::size_t a, std::size_t b) {
        work.add();
        return serving[a].hash < serving[b].hash;
    };
    // Hosts of about the same age as the oldest unranked one, by descending hash.
    std::priority_queue<std::size_t, std::vector<std::size_t>, decltype(hasSmallerHash)> sameAge(
        hasSmallerHash);
    std::vector<bool> isRanked(serving.size(), false);
    std::vector<std::string> order;
    order.reserve(serving.size());
    std::size_t oldest = 0;
    std::size_t next = 0;
    while (order.size() < serving.size()) {
        while (isRanked[oldest])
            ++oldest;
        const Candidate &first = serving[oldest];
        while (next < serving.size() && serving[next].host->millicores == first.host->millicores
               && serving[next].age + AgeTolerance >= first.age)
            sameAge.push(next++);
        const std::size_t chosen = sameAge.top();
        sameAge.pop();
        isRanked[chosen] = true;
        order.push_back(serving[chosen].host->ip);
    }
    return order;
}

} // namespace monsoongrade::routing
