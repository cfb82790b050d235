#include <monsoongrade/gateway/peergossip.h>

#include <gateway/internal/gossipmessages.h>
#include <gateway/internal/packedmessage.h>

#include <monsoongrade/observability/log.h>

#include <algorithm>
#include <random>

namespace monsoongrade::gateway {

namespace {

// The directory stops listing a lost host after 1.5 s, which is six rounds.
constexpr auto RoundInterval = std::chrono::milliseconds(250);
// Used while no other host is known. Hosts that start together do so within 0.3 s, and the seed
// host may be the last of them.
constexpr auto FirstRoundInterval = std::chrono::milliseconds(20);
// Entries have about 45, 25 and 30 bytes. Limits have a datagram of their own, so that each stays
// below 1,400 bytes.
constexpr std::size_t MaxCrashes = 20;
constexpr std::size_t MaxLeaving = 10;
constexpr std::size_t MaxLimits = 25;
constexpr std::size_t MaxDatagramBytes = 8192;

} // namespace

PeerGossip::PeerGossip(asio::io_context &io, httpio::Timers &timers, Settings settings,
                       routing::CrashTracker &crashes,
                       routing::EndpointAnnouncements &announcements)
    : socket_(io, settings.ownIp, settings.port, MaxDatagramBytes,
              DatagramSocket::AddressReuse::Allowed)
    , timers_(timers)
    , settings_(std::move(settings))
    , crashes_(crashes)
    , announcements_(announcements)
    , startedAt_(timers.now())
    , planner_(settings_.ownIp, std::random_device()())
    , random_(std::random_device()())
{
    for (const std::string &ip : settings_.seedIps) {
        if (ip != settings_.ownIp)
            table_.addSeed(ip);
    }
}

void PeerGossip::start()
{
    socket_.receive([this](std::string_view datagram, const asio::ip::udp::endpoint &sender) {
        onDatagram(datagram, sender);
    });
    round();
}

void PeerGossip::setState(routing::PeerState state)
{
    if (state_ == state)
        return;
    state_ = state;
    sendRound();
}

void PeerGossip::setStoreReachable(bool isReachable)
{
    if (isReachable && !isStoreReachable_)
        storeReachableSince_ = timers_.now();
    isStoreReachable_ = isReachable;
}

void PeerGossip::round()
{
    sendRound();
    if (onRound_)
        onRound_();
    const bool knowsNoHost = table_.live(timers_.now()).empty() && !settings_.seedIps.empty();
    timers_.after(knowsNoHost ? FirstRoundInterval : RoundInterval, [this] { round(); });
}

void PeerGossip::sendRound()
{
    const routing::GossipPlanner::Round round = planner_.next(table_, timers_.now());
    for (const std::string &ip : round.probeTargets)
        socket_.send(ip, encodeProbe());
    if (round.recipients.empty())
        return;
    std::vector<std::string> datagrams{encode(round.updates)};
    append(datagrams,
           Updates{crashes_.takeUpdates(MaxCrashes, timers_.now()),
                   announcements_.takeLeavingUpdates(MaxLeaving, timers_.now()),
                   {}});
    append(datagrams, Updates{{}, {}, announcements_.takeLimitUpdates(MaxLimits, timers_.now())});
    for (const std::string &ip : round.recipients) {
        for (const std::string &datagram : datagrams)
            socket_.send(ip, datagram);
    }
}

// Also sends the quarantined requests, leaving endpoints and limits, which a host that has just
// started does not know.
void PeerGossip::sendInitialState(const std::string &joiningHost)
{
    std::vector<std::string> datagrams{
        encode(planner_.updatesForJoiningHost(table_, timers_.now()))};
    append(datagrams,
           Updates{crashes_.quarantineUpdates(MaxCrashes, timers_.now()),
                   announcements_.latestLeaving(MaxLeaving, timers_.now()),
                   {}});
    // A random selection, so that the hosts together send all limits.
    std::vector<routing::RateLimitUpdate> limits = announcements_.limitsInForce(timers_.now());
    std::shuffle(limits.begin(), limits.end(), random_);
    limits.resize(std::min(limits.size(), MaxLimits));
    append(datagrams, Updates{{}, {}, std::move(limits)});
    for (const std::string &datagram : datagrams)
        socket_.send(joiningHost, datagram);
}

void PeerGossip::append(std::vector<std::string> &datagrams, const Updates &updates) const
{
    if (!updates.crashes.empty() || !updates.leaving.empty() || !updates.limits.empty())
        datagrams.push_back(encode(updates));
}

routing::PeerUpdate PeerGossip::own() const
{
    routing::PeerUpdate update;
    update.ip = settings_.ownIp;
    update.failureDomain = settings_.ownFailureDomain;
    update.state = state_;
    update.uptime = timers_.now() - startedAt_;
    update.millicores = settings_.ownMillicores;
    update.isStoreRefused = isStoreRefused_;
    update.dutyToken = dutyToken_;
    update.unreachablePools = unreachablePools_;
    if (isStoreReachable_)
        update.storeReachableFor = timers_.now() - storeReachableSince_;
    return update;
}

void PeerGossip::reportWallTime(const std::string &host, units::Duration sinceEpoch)
{
    if (sinceEpoch > units::Duration::zero() && onWallTime_)
        onWallTime_(host, sinceEpoch);
}

std::string PeerGossip::encodeProbe() const
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<schema::GossipMessage>();
    internal::encodePeer(root.initSender(), own());
    root.setIsProbe(true);
    return internal::serializePacked(message);
}

std::string PeerGossip::encode(const std::vector<routing::PeerUpdate> &others) const
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<schema::GossipMessage>();
    internal::encodePeer(root.initSender(), own());
    root.setWallMs(std::chrono::duration_cast<std::chrono::milliseconds>(
                       std::chrono::system_clock::now().time_since_epoch())
                       .count());
    auto list = root.initKnown(unsigned(others.size()));
    for (std::size_t i = 0; i < others.size(); ++i)
        internal::encodePeer(list[unsigned(i)], others[i]);
    return internal::serializePacked(message);
}

std::string PeerGossip::encode(const Updates &updates) const
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<schema::GossipMessage>();
    internal::encodePeer(root.initSender(), own());
    auto crashes = root.initCrashes(unsigned(updates.crashes.size()));
    for (std::size_t i = 0; i < updates.crashes.size(); ++i)
        internal::encodeCrash(crashes[unsigned(i)], updates.crashes[i]);
    auto leaving = root.initLeaving(unsigned(updates.leaving.size()));
    for (std::size_t i = 0; i < updates.leaving.size(); ++i)
        internal::encodeLeaving(leaving[unsigned(i)], updates.leaving[i]);
    auto limits = root.initLimits(unsigned(updates.limits.size()));
    for (std::size_t i = 0; i < updates.limits.size(); ++i)
        internal::encodeLimit(limits[unsigned(i)], updates.limits[i]);
    return internal::serializePacked(message);
}

void PeerGossip::onDatagram(std::string_view datagram, const asio::ip::udp::endpoint &from)
{
    const auto fault = internal::readFault([&] {
        internal::PackedMessage message(datagram);
        const auto root = message.root<schema::GossipMessage>();
        std::vector<routing::PeerUpdate> received;
        std::string joiningHost;
        if (auto sender = internal::decodePeer(root.getSender())) {
            if (!table_.isLive(sender->ip, timers_.now()))
                joiningHost = sender->ip;
            received.push_back(*sender);
            planner_.onHeartbeat(sender->ip, timers_.now());
            reportWallTime(sender->ip, std::chrono::milliseconds(root.getWallMs()));
        }
        for (const auto peer : root.getKnown()) {
            if (auto update = internal::decodePeer(peer))
                received.push_back(*update);
        }
        for (const auto crash : root.getCrashes()) {
            if (const auto update = internal::decodeCrash(crash))
                crashes_.receive(*update, timers_.now());
        }
        for (const auto limit : root.getLimits()) {
            const auto update = internal::decodeLimit(limit);
            if (update && onLimit_)
                onLimit_(*update);
        }
        for (const auto leaving : root.getLeaving()) {
            if (onLeaving_)
                onLeaving_(internal::decodeLeaving(leaving));
        }
        for (const routing::PeerUpdate &update : received) {
            if (update.ip != settings_.ownIp)
                table_.receive(update, timers_.now());
        }
        if (!joiningHost.empty() && joiningHost != settings_.ownIp)
            sendInitialState(joiningHost);
        else if (root.getIsProbe())
            socket_.send(from.address().to_string(), encode(std::vector<routing::PeerUpdate>{}));
    });
    if (fault)
        observability::log(observability::LogLevel::Warning, "gossip-unreadable",
                           {{"from", from.address().to_string()},
                            {"bytes", std::uint64_t(datagram.size())},
                            {"reason", *fault}});
}

} // namespace monsoongrade::gateway
