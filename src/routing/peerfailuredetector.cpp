#include <monsoongrade/routing/peerfailuredetector.h>

#include <monsoongrade/units/stablehash.h>

#include <algorithm>
#include <cstdint>

namespace monsoongrade::routing {

namespace {

// Heartbeats are 250 ms apart.
constexpr auto ProbeAfter = std::chrono::milliseconds(500);
// Leaves time for three probes and their answers. Together with the spreading of the news a lost
// host is known to all within two seconds.
constexpr auto LostAfter = std::chrono::milliseconds(1100);
// Rounds are 250 ms apart.
constexpr auto SuspendedAfter = std::chrono::milliseconds(700);

std::uint64_t placeOf(const std::string &ip)
{
    return units::spreadHash({"ring", ip});
}

using Distances = std::vector<std::pair<std::uint64_t, const std::string *>>;

std::vector<std::string> nearest(Distances distances, std::size_t count)
{
    count = std::min(count, distances.size());
    std::partial_sort(distances.begin(), distances.begin() + std::ptrdiff_t(count),
                      distances.end());
    std::vector<std::string> found;
    found.reserve(count);
    for (std::size_t i = 0; i < count; ++i)
        found.push_back(*distances[i].second);
    return found;
}

} // namespace

RingNeighbours ringNeighbours(const std::string &ownIp, const std::vector<std::string> &live,
                              std::size_t maxWatchers, std::size_t maxWatched)
{
    const std::uint64_t own = placeOf(ownIp);
    Distances after;
    Distances before;
    after.reserve(live.size());
    before.reserve(live.size());
    for (const std::string &ip : live) {
        const std::uint64_t place = placeOf(ip);
        after.emplace_back(place - own, &ip);
        before.emplace_back(own - place, &ip);
    }
    return {nearest(std::move(after), maxWatchers), nearest(std::move(before), maxWatched)};
}

void PeerFailureDetector::onHeartbeat(const std::string &ip, units::TimePoint now)
{
    const auto watched = lastHeartbeatAt_.find(ip);
    if (watched != lastHeartbeatAt_.end())
        watched->second = now;
}

PeerFailureDetector::Judgement PeerFailureDetector::judge(const std::vector<std::string> &watched,
                                                          units::TimePoint now)
{
    const bool wasSuspended = now - lastJudgedAt_ >= SuspendedAfter;
    lastJudgedAt_ = now;
    std::map<std::string, units::TimePoint> lastHeartbeatAt;
    Judgement judgement;
    for (const std::string &ip : watched) {
        const auto before = lastHeartbeatAt_.find(ip);
        const bool startsAnew = wasSuspended || before == lastHeartbeatAt_.end();
        const units::TimePoint at = startsAnew ? now : before->second;
        lastHeartbeatAt[ip] = at;
        if (now - at >= LostAfter)
            judgement.lost.push_back(ip);
        else if (now - at >= ProbeAfter)
            judgement.probeTargets.push_back(ip);
    }
    lastHeartbeatAt_ = std::move(lastHeartbeatAt);
    return judgement;
}

} // namespace monsoongrade::routing
