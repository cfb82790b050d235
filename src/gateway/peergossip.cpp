#include <monsoongrade/gateway/peergossip.h>

#include <gateway/internal/gossipmessages.h>
#include <gateway/internal/packedmessage.h>

#include <monsoongrade/observability/log.h>

#include <asio/buffer.hpp>

#include <capnp/serialize-packed.h>
#include <kj/exception.h>

#include <random>

namespace monsoongrade::gateway {

namespace {

// A lost host is taken out of the directory's answers after 1.5 s, that is six rounds.
constexpr auto RoundInterval = std::chrono::milliseconds(250);
// While nobody is known: hosts that start together do so within 0.3 s, and the one that the
// settings name may be the last.
constexpr auto FirstRoundInterval = std::chrono::milliseconds(20);
// About 45 and 30 bytes each; the packet stays below 1,400 bytes.
constexpr std::size_t MaxCrashes = 20;
constexpr std::size_t MaxLimits = 10;

} // namespace

PeerGossip::PeerGossip(asio::io_context &io, httpio::Timers &timers, Settings settings,
                       routing::CrashTracker &crashes, routing::RateLimitTable &limits)
    : socket_(io)
    , timers_(timers)
    , settings_(std::move(settings))
    , crashes_(crashes)
    , limits_(limits)
    , startedAt_(timers.now())
    , rounds_(settings_.ownIp, std::random_device()())
{
    for (const std::string &ip : settings_.seedIps) {
        if (ip != settings_.ownIp)
            table_.addSeed(ip);
    }
    const asio::ip::udp::endpoint own(asio::ip::make_address_v4(settings_.ownIp), settings_.port);
    socket_.open(asio::ip::udp::v4());
    socket_.set_option(asio::socket_base::reuse_address(true));
    socket_.bind(own);
    socket_.non_blocking(true);
}

void PeerGossip::start()
{
    receive();
    round();
}

void PeerGossip::setState(routing::PeerState state)
{
    if (state_ == state)
        return;
    state_ = state;
    tell();
}

void PeerGossip::setStoreReachable(bool hasStore)
{
    if (hasStore && !hasStore_)
        storeSince_ = timers_.now();
    hasStore_ = hasStore;
}

void PeerGossip::receive()
{
    socket_.async_receive_from(asio::buffer(buffer_), sender_,
                               [this](const asio::error_code &error, std::size_t count) {
                                   if (error == asio::error::operation_aborted)
                                       return;
                                   // An error here is an ICMP report about an earlier datagram:
                                   // that host is down.
                                   if (!error)
                                       decode(std::string(buffer_.data(), count));
                                   receive();
                               });
}

void PeerGossip::round()
{
    tell();
    if (onRound_)
        onRound_();
    const bool knowsNobody = table_.live(timers_.now()).empty() && !settings_.seedIps.empty();
    timers_.after(knowsNobody ? FirstRoundInterval : RoundInterval, [this] { round(); });
}

void PeerGossip::tell()
{
    const routing::GossipPlanner::Round round = rounds_.next(table_, timers_.now());
    for (const std::string &ip : round.probeTargets)
        send(ip, encodeProbe());
    if (round.recipients.empty())
        return;
    const std::string datagram = encode(round.news);
    const std::vector<routing::CrashUpdate> crashes
        = crashes_.takeUpdates(MaxCrashes, timers_.now());
    const std::vector<routing::RateLimitUpdate> limits
        = limits_.takeUpdates(MaxLimits, timers_.now());
    const bool hasNews = !crashes.empty() || !limits.empty();
    const std::string news = hasNews ? encodeNews(crashes, limits) : std::string();
    for (const std::string &ip : round.recipients) {
        send(ip, datagram);
        if (hasNews)
            send(ip, news);
    }
}

// A host that has just started can't know what is in quarantine.
void PeerGossip::welcome(const std::string &newcomer)
{
    send(newcomer, encode(rounds_.newsForJoiningHost(table_, timers_.now())));
    const std::vector<routing::CrashUpdate> crashes
        = crashes_.quarantineNews(MaxCrashes, timers_.now());
    if (!crashes.empty())
        send(newcomer, encodeNews(crashes, {}));
}

void PeerGossip::send(const std::string &ip, const std::string &datagram)
{
    asio::error_code error;
    const auto address = asio::ip::make_address_v4(ip, error);
    if (!error)
        socket_.send_to(asio::buffer(datagram), {address, settings_.port}, 0, error);
    // A datagram that can't be sent counts as lost; the next round tries again.
}

routing::PeerUpdate PeerGossip::own() const
{
    routing::PeerUpdate news;
    news.ip = settings_.ownIp;
    news.failureDomain = settings_.ownFailureDomain;
    news.state = state_;
    news.uptime = timers_.now() - startedAt_;
    news.millicores = settings_.ownMillicores;
    news.isStoreRefused = isStoreRefused_;
    news.dutyToken = dutyToken_;
    if (hasStore_)
        news.storeReachableFor = timers_.now() - storeSince_;
    return news;
}

void PeerGossip::noteWallTime(const std::string &host, units::Duration sinceEpoch)
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
    return internal::packed(message);
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
    return internal::packed(message);
}

std::string PeerGossip::encodeNews(const std::vector<routing::CrashUpdate> &crashes,
                                   const std::vector<routing::RateLimitUpdate> &limits) const
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<schema::GossipMessage>();
    internal::encodePeer(root.initSender(), own());
    auto crashList = root.initCrashes(unsigned(crashes.size()));
    for (std::size_t i = 0; i < crashes.size(); ++i)
        internal::encodeCrash(crashList[unsigned(i)], crashes[i]);
    auto limitList = root.initLimits(unsigned(limits.size()));
    for (std::size_t i = 0; i < limits.size(); ++i)
        internal::encodeLimit(limitList[unsigned(i)], limits[i]);
    return internal::packed(message);
}

void PeerGossip::decode(const std::string &datagram)
{
    const auto fault = kj::runCatchingExceptions([&] {
        kj::ArrayInputStream in(
            kj::arrayPtr(reinterpret_cast<const kj::byte *>(datagram.data()), datagram.size()));
        capnp::PackedMessageReader message(in);
        const auto root = message.getRoot<schema::GossipMessage>();
        std::vector<routing::PeerUpdate> heard;
        std::string newcomer;
        if (auto sender = internal::decodePeer(root.getSender())) {
            if (!table_.isLive(sender->ip, timers_.now()))
                newcomer = sender->ip;
            heard.push_back(*sender);
            rounds_.onHeartbeat(sender->ip, timers_.now());
            noteWallTime(sender->ip, std::chrono::milliseconds(root.getWallMs()));
        }
        for (const auto peer : root.getKnown()) {
            if (auto news = internal::decodePeer(peer))
                heard.push_back(*news);
        }
        for (const auto crash : root.getCrashes()) {
            if (const auto news = internal::decodeCrash(crash))
                crashes_.receive(*news, timers_.now());
        }
        for (const auto limit : root.getLimits()) {
            const auto news = internal::decodeLimit(limit);
            if (news && onLimit_)
                onLimit_(*news);
        }
        for (const routing::PeerUpdate &news : heard) {
            if (news.ip != settings_.ownIp)
                table_.receive(news, timers_.now());
        }
        if (!newcomer.empty() && newcomer != settings_.ownIp)
            welcome(newcomer);
        else if (root.getIsProbe())
            send(sender_.address().to_string(), encode({}));
    });
    KJ_IF_MAYBE (exception, fault) {
        observability::log(observability::LogLevel::Warning, "gossip-unreadable",
                           {{"from", sender_.address().to_string()},
                            {"bytes", std::uint64_t(datagram.size())},
                            {"reason", exception->getDescription().cStr()}});
    }
}

} // namespace monsoongrade::gateway
