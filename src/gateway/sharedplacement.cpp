#include <monsoongrade/gateway/sharedplacement.h>

#include <gateway/internal/packedmessage.h>

#include <monsoongrade/observability/log.h>

#include <placement.capnp.h>

#include <asio/buffer.hpp>

#include <capnp/serialize-packed.h>
#include <kj/exception.h>

#include <algorithm>

namespace monsoongrade::gateway {

namespace {

using internal::packed;

// An answer takes a round trip of 2 to 3 ms. A request for the tightest class has 250 ms, so a
// lost datagram may cost a tenth of that.
constexpr auto AnswerTimeout = std::chrono::milliseconds(25);
// One answer may be lost with its datagram; two in a row mean that the host is gone or frozen.
constexpr int MissedAnswersToAvoid = 2;
constexpr auto AvoidFor = std::chrono::seconds(1);
// Hosts that learn what is cached where. Two may be lost at the same time.
constexpr std::size_t Successors = 2;
// About 40 bytes each; the datagram stays below 1,400 bytes.
constexpr std::size_t MaxPartsInDatagram = 25;
// How long a host waits without news for an endpoint before it asks again.
// Between two looks at the waiting requests. One look costs about 0.3 ms with 75 endpoints, and in
// a burst of 2,000 pieces of news a second a look at each took all the processor there is.
constexpr auto WaitingInterval = std::chrono::milliseconds(4);
constexpr units::Duration WaitingTimeout = std::chrono::milliseconds(200);

std::uint32_t inMilliseconds(units::Duration duration)
{
    const auto count = std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
    return std::uint32_t(std::max<std::int64_t>(count, 0));
}

std::string encodeAnswer(std::uint64_t number, const routing::PlacementChoice &choice)
{
    capnp::MallocMessageBuilder message;
    auto answer = message.initRoot<schema::PlacementMessage>().initAnswer();
    answer.setNumber(number);
    answer.setWaiting(choice.isWaiting);
    if (choice.endpoint != nullptr && !choice.isWaiting)
        answer.setEndpoint(choice.endpoint->described.id.value());
    answer.setTokensToRead(std::uint32_t(choice.tokensToRead));
    return packed(message);
}

std::string encodeAsk(std::uint64_t number, const routing::PlacementQuery &query)
{
    capnp::MallocMessageBuilder message;
    auto ask = message.initRoot<schema::PlacementMessage>().initAsk();
    ask.setNumber(number);
    ask.setPool(query.pool.value());
    ask.setSharedPart(query.sharedPart);
    ask.setPromptTokens(std::uint32_t(query.promptTokens));
    ask.setOwnTokens(std::uint32_t(query.ownTokens));
    ask.setTier(query.tier.value());
    ask.setNeedsShortPauses(query.needsShortPauses);
    ask.setFailureDomain(query.askersDomain.value());
    ask.setTargetInMs(inMilliseconds(query.targetIn));
    ask.setGivenUpInMs(inMilliseconds(query.givenUpIn));
    auto tried = ask.initTried(unsigned(query.tried.size()));
    for (std::size_t i = 0; i < query.tried.size(); ++i)
        tried.set(unsigned(i), query.tried[i].value());
    return packed(message);
}

routing::PlacementQuery decodeAsk(schema::PlacementAsk::Reader ask)
{
    routing::PlacementQuery query;
    query.pool = units::PoolName(ask.getPool());
    query.runsModel = true;
    query.sharedPart = ask.getSharedPart();
    query.promptTokens = ask.getPromptTokens();
    query.ownTokens = ask.getOwnTokens();
    query.tier = units::Tier(ask.getTier());
    query.needsShortPauses = ask.getNeedsShortPauses();
    query.askersDomain = units::FailureDomain(ask.getFailureDomain());
    query.targetIn = std::chrono::milliseconds(ask.getTargetInMs());
    query.givenUpIn = std::chrono::milliseconds(ask.getGivenUpInMs());
    query.mayWait = true;
    for (const auto tried : ask.getTried())
        query.tried.emplace_back(std::string(tried));
    return query;
}

} // namespace

SharedPlacement::SharedPlacement(asio::io_context &io, httpio::Timers &timers, Settings settings,
                                 const routing::EndpointRoster &roster,
                                 observability::Metrics &metrics)
    : socket_(io)
    , timers_(timers)
    , settings_(std::move(settings))
    , roster_(roster)
    , metrics_(metrics)
{
    const asio::ip::udp::endpoint own(asio::ip::make_address_v4(settings_.ownIp), settings_.port);
    socket_.open(asio::ip::udp::v4());
    socket_.bind(own);
    socket_.non_blocking(true);
}

std::uint64_t SharedPlacement::place(const routing::PlacementQuery &query, Placed placed)
{
    const std::uint64_t number = ++lastNumber_;
    const std::string host = query.runsModel ? decider() : std::string();
    if (host.empty()) {
        placeAlone(number, query, placed);
        return number;
    }
    Ask &ask = asks_[number];
    ask = {query, std::move(placed), host, {}};
    ask.timeout = timers_.after(AnswerTimeout, [this, number] { onTimeout(number); });
    send(host, encodeAsk(number, query));
    return number;
}

void SharedPlacement::placeAlone(std::uint64_t number, const routing::PlacementQuery &query,
                                 const Placed &placed)
{
    const routing::PlacementTicket ticket{settings_.ownIp, number};
    const routing::PlacementChoice choice
        = desk_.place(ticket, query, roster_.available(query.pool), timers_.now());
    if (choice.isWaiting)
        ownWaiting_[number] = placed;
    else
        placed(ticket, choice);
}

void SharedPlacement::tell(const routing::PlacementTicket &ticket, routing::PlacementNews news)
{
    const auto decider = deciders_.find(ticket.number);
    if (decider == deciders_.end()) {
        desk_.hear(ticket, news, timers_.now());
        ownWaiting_.erase(ticket.number);
        placeWaitingSoon();
        return;
    }
    capnp::MallocMessageBuilder message;
    auto out = message.initRoot<schema::PlacementMessage>().initNews();
    out.setNumber(ticket.number);
    out.setNews(static_cast<schema::PlacementNews::News>(news));
    send(decider->second, packed(message));
    const bool staysOpen = news == routing::PlacementNews::FirstEvent
        || news == routing::PlacementNews::EndpointSilent;
    if (!staysOpen)
        deciders_.erase(decider);
}

const std::string &SharedPlacement::placedBy(const routing::PlacementTicket &ticket) const
{
    const auto found = deciders_.find(ticket.number);
    return found == deciders_.end() ? settings_.ownIp : found->second;
}

bool SharedPlacement::hasEndpoint(const routing::PlacementQuery &query) const
{
    return desk_.hasEndpoint(query, roster_.available(query.pool), timers_.now());
}

// The host that places for all; empty if it is this one, or there is no other.
std::string SharedPlacement::decider() const
{
    const units::TimePoint now = timers_.now();
    for (const std::string &host : order_) {
        const auto trust = trust_.find(host);
        if (host == settings_.ownIp)
            return {};
        if (trust == trust_.end() || now >= trust->second.avoidUntil)
            return host;
    }
    return {};
}

void SharedPlacement::setOrder(std::vector<std::string> order)
{
    order_ = std::move(order);
    tellSuccessors();
}

void SharedPlacement::tellSuccessors()
{
    const std::vector<routing::CachedPart> parts = desk_.takeNewParts();
    for (std::size_t begin = 0; begin < parts.size(); begin += MaxPartsInDatagram) {
        const std::size_t count = std::min(MaxPartsInDatagram, parts.size() - begin);
        capnp::MallocMessageBuilder message;
        auto list = message.initRoot<schema::PlacementMessage>().initCachedParts().initParts(
            unsigned(count));
        for (std::size_t i = 0; i < count; ++i) {
            const routing::CachedPart &part = parts[begin + i];
            list[unsigned(i)].setPart(part.part);
            list[unsigned(i)].setEndpoint(part.endpoint.value());
            list[unsigned(i)].setIncarnation(part.incarnation.value());
        }
        const std::string datagram = packed(message);
        std::size_t told = 0;
        for (const std::string &host : order_) {
            if (host != settings_.ownIp && told++ < Successors)
                send(host, datagram);
        }
    }
}

void SharedPlacement::onTimeout(std::uint64_t number)
{
    const auto found = asks_.find(number);
    if (found == asks_.end())
        return;
    const Ask ask = std::move(found->second);
    asks_.erase(found);
    metrics_.add("monsoongrade_gateway_placements_unanswered_total");
    Trust &trust = trust_[ask.decider];
    if (++trust.missedAnswers >= MissedAnswersToAvoid) {
        trust = {0, timers_.now() + AvoidFor};
        observability::log(observability::LogLevel::Warning, "placing-host-lost",
                           {{"host", ask.decider}, {"pool", ask.query.pool.value()}});
    }
    // Without the other hosts' requests in view, waiting here would only add delay.
    routing::PlacementQuery query = ask.query;
    query.mayWait = false;
    query.isAlone = true;
    placeAlone(number, query, ask.placed);
}

void SharedPlacement::receive()
{
    socket_.async_receive_from(asio::buffer(buffer_), sender_,
                               [this](const asio::error_code &error, std::size_t count) {
                                   if (error == asio::error::operation_aborted)
                                       return;
                                   // An error here is an ICMP report about an earlier datagram.
                                   if (!error)
                                       onDatagram(count);
                                   receive();
                               });
}

void SharedPlacement::onDatagram(std::size_t count)
{
    const std::string host = sender_.address().to_string();
    const auto fault = kj::runCatchingExceptions([&] {
        kj::ArrayInputStream in(
            kj::arrayPtr(reinterpret_cast<const kj::byte *>(buffer_.data()), count));
        capnp::PackedMessageReader reader(in);
        const auto message = reader.getRoot<schema::PlacementMessage>();
        if (message.isAsk()) {
            onAsk(host, message.getAsk().getNumber(), decodeAsk(message.getAsk()));
        } else if (message.isAnswer()) {
            const auto answer = message.getAnswer();
            if (answer.getWaiting())
                onWaiting(host, answer.getNumber());
            else
                onAnswer(host, answer.getNumber(), answer.getEndpoint(), answer.getTokensToRead());
        } else if (message.isNews()) {
            const auto news = message.getNews();
            desk_.hear({host, news.getNumber()},
                       static_cast<routing::PlacementNews>(news.getNews()), timers_.now());
            placeWaitingSoon();
        } else if (message.isCachedParts()) {
            for (const auto part : message.getCachedParts().getParts())
                desk_.learn({part.getPart(), units::EndpointId(part.getEndpoint()),
                             routing::Incarnation(part.getIncarnation())},
                            timers_.now());
        }
    });
    KJ_IF_MAYBE (exception, fault) {
        observability::log(observability::LogLevel::Warning, "placement-unreadable",
                           {{"from", host}, {"reason", exception->getDescription().cStr()}});
    }
}

void SharedPlacement::onAsk(const std::string &host, std::uint64_t number,
                            const routing::PlacementQuery &query)
{
    send(host,
         encodeAnswer(
             number,
             desk_.place({host, number}, query, roster_.available(query.pool), timers_.now())));
}

// Room may have come: tells the hosts whose waiting requests now have an endpoint.
void SharedPlacement::placeWaitingSoon()
{
    if (!desk_.hasWaiting() || isPlacingPlanned_)
        return;
    isPlacingPlanned_ = true;
    timers_.after(WaitingInterval, [this] {
        isPlacingPlanned_ = false;
        placeWaiting();
    });
}

void SharedPlacement::placeWaiting()
{
    for (const auto &[ticket, choice] : desk_.placeWaiting(roster_, timers_.now())) {
        if (ticket.host != settings_.ownIp) {
            send(ticket.host, encodeAnswer(ticket.number, choice));
            continue;
        }
        const auto own = ownWaiting_.find(ticket.number);
        if (own == ownWaiting_.end())
            continue;
        const Placed placed = std::move(own->second);
        ownWaiting_.erase(own);
        placed(ticket, choice);
    }
}

void SharedPlacement::onWaiting(const std::string &host, std::uint64_t number)
{
    const auto found = asks_.find(number);
    if (found == asks_.end())
        return;
    trust_[host].missedAnswers = 0;
    Ask &ask = found->second;
    timers_.cancel(ask.timeout);
    ask.timeout = timers_.after(WaitingTimeout, [this, number] { askAgain(number); });
}

// The answer to a waiting request may be lost, or the placing host with its queue.
void SharedPlacement::askAgain(std::uint64_t number)
{
    const auto found = asks_.find(number);
    if (found == asks_.end())
        return;
    Ask &ask = found->second;
    ask.query.targetIn -= WaitingTimeout;
    ask.query.givenUpIn -= WaitingTimeout;
    ask.timeout = timers_.after(AnswerTimeout, [this, number] { onTimeout(number); });
    send(ask.decider, encodeAsk(number, ask.query));
}

void SharedPlacement::withdraw(std::uint64_t number)
{
    const auto found = asks_.find(number);
    if (found != asks_.end()) {
        timers_.cancel(found->second.timeout);
        deciders_[number] = found->second.decider;
        asks_.erase(found);
    }
    tell({settings_.ownIp, number}, routing::PlacementNews::Withdrawn);
}

void SharedPlacement::onAnswer(const std::string &host, std::uint64_t number,
                               const std::string &endpoint, std::int64_t tokensToRead)
{
    const auto found = asks_.find(number);
    if (found == asks_.end())
        return; // decided alone meanwhile
    Ask ask = std::move(found->second);
    asks_.erase(found);
    timers_.cancel(ask.timeout);
    trust_[host].missedAnswers = 0;
    const units::TimePoint now = timers_.now();
    for (const routing::EndpointRoster::Status &status : roster_.available(ask.query.pool)) {
        if (status->described.id.value() == endpoint && status->health.accepts(now)) {
            deciders_[number] = host;
            ask.placed({settings_.ownIp, number}, {status, tokensToRead});
            return;
        }
    }
    // The other host does not know yet that the endpoint left or fails, or knows of none.
    placeAlone(number, ask.query, ask.placed);
}

void SharedPlacement::send(const std::string &ip, const std::string &datagram)
{
    asio::error_code error;
    const auto address = asio::ip::make_address_v4(ip, error);
    if (!error)
        socket_.send_to(asio::buffer(datagram), {address, settings_.port}, 0, error);
    // A datagram that can't be sent counts as lost; the sender's timeout covers it.
}

} // namespace monsoongrade::gateway
