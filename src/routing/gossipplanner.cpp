#include <monsoongrade/routing/gossipplanner.h>

#include <monsoongrade/routing/storereaders.h>

#include <algorithm>

namespace monsoongrade::routing {

namespace {

// With 80 hosts, an update reaches all of them in about three rounds.
constexpr std::size_t MaxRecipients = 7;
// Hosts described in one datagram, about 25 bytes each, so that it stays below 1,400 bytes.
constexpr std::size_t MaxPeersPerDatagram = 40;
// In a large fleet: the hosts that monitor each host, and the live hosts that a datagram describes
// even without a change, to compensate for lost datagrams.
constexpr std::size_t MaxWatchers = 4;
constexpr std::size_t MinPeersPerDatagram = 10;
// Limits the probes sent by a host that is cut off from all others.
constexpr std::size_t MaxWatched = 32;

} // namespace

GossipPlanner::GossipPlanner(std::string ownIp, std::uint32_t seed)
    : ownIp_(std::move(ownIp))
    , random_(seed)
{
}

GossipPlanner::Round GossipPlanner::next(PeerTable &table, units::TimePoint now)
{
    Round round;
    if (table.isLarge())
        round.probeTargets = monitorPeers(table, now);
    round.recipients = recipients(table, now);
    if (!round.recipients.empty())
        round.updates = updatesToSend(table, now);
    return round;
}

std::vector<std::string> GossipPlanner::monitorPeers(PeerTable &table, units::TimePoint now)
{
    // Hosts beyond a silent one on the ring may have lost all their watchers.
    const std::size_t maxWatched = std::min(MaxWatchers + silentCount_, MaxWatched);
    RingNeighbours neighbours = ringNeighbours(ownIp_, table.liveIps(now), MaxWatchers, maxWatched);
    watchers_ = std::move(neighbours.watchers);
    PeerFailureDetector::Result result = detector_.check(neighbours.watched, now);
    silentCount_ = result.probeTargets.size() + result.lost.size();
    for (const std::string &ip : result.lost)
        table.markLost(ip, now);
    return std::move(result.probeTargets);
}

std::vector<std::string> GossipPlanner::recipients(const PeerTable &table, units::TimePoint now)
{
    std::vector<std::string> ips = table.recipients(now);
    std::shuffle(ips.begin(), ips.end(), random_);
    if (table.isLarge())
        ips.insert(ips.begin(), watchers_.begin(), watchers_.end());
    ips.resize(std::min(ips.size(), MaxRecipients));
    return ips;
}

std::vector<PeerUpdate> GossipPlanner::updatesToSend(PeerTable &table, units::TimePoint now)
{
    if (!table.isLarge())
        return updatesForJoiningHost(table, now);
    std::vector<PeerUpdate> updates = table.takeChanges(MaxPeersPerDatagram, now, random_);
    if (updates.size() >= MinPeersPerDatagram)
        return updates;
    for (PeerUpdate &peer : table.sample(MinPeersPerDatagram - updates.size(), now, random_))
        updates.push_back(std::move(peer));
    return updates;
}

std::vector<PeerUpdate> GossipPlanner::updatesForJoiningHost(const PeerTable &table,
                                                             units::TimePoint now)
{
    // A different selection each time: in a fleet with more hosts than fit in a datagram,
    // updates of those always left out would only come from themselves, seconds apart, and they
    // would seem lost.
    std::vector<PeerUpdate> hosts = table.live(now);
    std::shuffle(hosts.begin(), hosts.end(), random_);
    // The store readers are always included: a starting host that does not know them would ask
    // other hosts and make them read the store too.
    const std::vector<std::string> readers = storeReaders(hosts, StoreReaderCount);
    std::stable_partition(hosts.begin(), hosts.end(), [&](const PeerUpdate &peer) {
        return std::find(readers.begin(), readers.end(), peer.ip) != readers.end();
    });
    hosts.resize(std::min(hosts.size(), MaxPeersPerDatagram));
    return hosts;
}

} // namespace monsoongrade::routing
