#include <monsoongrade/routing/gossipplanner.h>

#include <monsoongrade/routing/storereaders.h>

#include <algorithm>

namespace monsoongrade::routing {

namespace {

// With 80 hosts, news reaches all in about three rounds.
constexpr std::size_t MaxAddressees = 7;
// Hosts described in one datagram, about 25 bytes each; the packet stays below 1,400 bytes.
constexpr std::size_t MaxDescribed = 40;
// In a large fleet: hosts that watch each one, and live hosts that a datagram tells of
// even without a change, so that lost news are made up for.
constexpr std::size_t MaxWatchers = 4;
constexpr std::size_t MinDescribed = 10;
// Bounds the probes of a host that has lost contact with all others.
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
        round.probeTargets = watch(table, now);
    round.recipients = recipients(table, now);
    if (!round.recipients.empty())
        round.news = news(table, now);
    return round;
}

std::vector<std::string> GossipPlanner::watch(PeerTable &table, units::TimePoint now)
{
    // Beyond a silent host there may be others whose watchers are all lost.
    const std::size_t maxWatched = std::min(MaxWatchers + silent_, MaxWatched);
    RingNeighbours neighbours = ringNeighbours(ownIp_, table.liveIps(now), MaxWatchers, maxWatched);
    watchers_ = std::move(neighbours.watchers);
    PeerFailureDetector::Judgement judgement = watch_.judge(neighbours.watched, now);
    silent_ = judgement.probeTargets.size() + judgement.lost.size();
    for (const std::string &ip : judgement.lost)
        table.markLost(ip, now);
    return std::move(judgement.probeTargets);
}

std::vector<std::string> GossipPlanner::recipients(const PeerTable &table, units::TimePoint now)
{
    std::vector<std::string> ips = table.recipients(now);
    std::shuffle(ips.begin(), ips.end(), random_);
    if (table.isLarge())
        ips.insert(ips.begin(), watchers_.begin(), watchers_.end());
    ips.resize(std::min(ips.size(), MaxAddressees));
    return ips;
}

std::vector<PeerUpdate> GossipPlanner::news(PeerTable &table, units::TimePoint now)
{
    if (!table.isLarge())
        return newsForJoiningHost(table, now);
    std::vector<PeerUpdate> news = table.takeChanges(MaxDescribed, now, random_);
    if (news.size() >= MinDescribed)
        return news;
    for (PeerUpdate &peer : table.sample(MinDescribed - news.size(), now, random_))
        news.push_back(std::move(peer));
    return news;
}

std::vector<PeerUpdate> GossipPlanner::newsForJoiningHost(const PeerTable &table,
                                                          units::TimePoint now)
{
    // Others each time: in a fleet with more hosts than one datagram holds, news of those that are
    // always left out would only come from themselves, seconds apart, and they would look lost.
    std::vector<PeerUpdate> hosts = table.live(now);
    std::shuffle(hosts.begin(), hosts.end(), random_);
    // But always those that read the store: a starting host that does not hear of them would ask
    // others, and make them read too.
    const std::vector<std::string> readers = storeReaders(hosts, StoreReaderCount);
    std::stable_partition(hosts.begin(), hosts.end(), [&](const PeerUpdate &peer) {
        return std::find(readers.begin(), readers.end(), peer.ip) != readers.end();
    });
    hosts.resize(std::min(hosts.size(), MaxDescribed));
    return hosts;
}

} // namespace monsoongrade::routing
