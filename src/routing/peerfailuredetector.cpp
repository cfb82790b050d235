#include <monsoongrade/routing/peerfailuredetector.h>

#include <monsoongrade/units/stablehash.h>

#include <algorithm>
#include <cstdint>

namespace monsoongrade::routing {

namespace {

// Heartbeats are 250 ms apart.
constexpr auto ProbeAfter = std::chrono::milliseconds(500);
// Leaves time for three probes and their answers. Including the gossip of the loss, all hosts know
// of a lost host within two seconds.
constexpr auto LostAfter = std::chrono::milliseconds(1100);
// Rounds are 250 ms apart; a longer gap means that this process was suspended.
constexpr auto SuspendedAfter = std::chrono::milliseconds(700);

std::uint64_t ringPosition(const std::string &ip)
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
    const std::uint64_t own = ringPosition(ownIp);
    Distances after;
    Distances before;
    after.reserve(live.size());
    before.reserve(live.size());
    for (const std::string &ip : live) {
        const std::uint64_t position = ringPosition(ip);
        after.emplace_back(position - own, &ip);
        before.emplace_back(own - position, &ip);
    }
    return {nearest(std::move(after), maxWatchers), nearest(std::move(before), maxWatched)};
}

void PeerFailureDetector::onHeartbeat(const std::string &ip, units::TimePoint now)
{
    const auto watched = lastHeartbeatAt_.find(ip);
    if (watched != lastHeartbeatAt_.end())
        watched->second = now;
}

PeerFailureDetector::Result PeerFailureDetector::check(const std::vector<std::string> &watched,
                                                       units::TimePoint now)
{
    const bool wasSuspended = now - lastCheckAt_ >= SuspendedAfter;
    lastCheckAt_ = now;
    std::map<std::string, units::TimePoint> lastHeartbeatAt;
    Result result;
    for (const std::string &ip : watched) {
        const auto before = lastHeartbeatAt_.find(ip);
        const bool isTimeoutRestarted = wasSuspended || before == lastHeartbeatAt_.end();
        const units::TimePoint at = isTimeoutRestarted ? now : before->second;
        lastHeartbeatAt[ip] = at;
        if (now - at >= LostAfter)
            result.lost.push_back(ip);
        else if (now - at >= ProbeAfter)
            result.probeTargets.push_back(ip);
    }
    lastHeartbeatAt_ = std::move(lastHeartbeatAt);
    return result;
}

} // namespace monsoongrade::routing
