#include <monsoongrade/gateway/placementservice.h>

#include <gateway/internal/placementmessages.h>

#include <monsoongrade/observability/log.h>

#include <asio/buffer.hpp>

#include <kj/exception.h>

#include <algorithm>
#include <map>
#include <random>

namespace monsoongrade::gateway {

namespace {

using namespace internal;

// An answer takes a round trip of 2 to 3 ms. A request for the tightest class has 250 ms, so a
// lost datagram may cost a tenth of that.
constexpr auto AnswerTimeout = std::chrono::milliseconds(25);
// Hosts that learn what is cached where. Two may be lost at the same time.
constexpr std::size_t Successors = 2;
// About 40 bytes each; the datagram stays below 1,400 bytes.
constexpr std::size_t MaxPartsInDatagram = 25;
// Between two looks at the waiting requests. A look at each piece of news would take all the
// processor there is in a burst.
constexpr auto WaitingInterval = std::chrono::milliseconds(4);
// Between two checks that the placing host still has this one's waiting requests. All go in one
// datagram: an ask for each would keep the placing host from answering anybody in time.
constexpr auto WaitingCheckInterval = std::chrono::milliseconds(250);
// About 7 bytes each, packed.
constexpr std::size_t MaxNumbersInDatagram = 150;
// Numbers of tickets begin anywhere below this many times 2^24: a restarted host that began at 1
// would get the answers to the requests of its last run, which the placing host keeps for 12 s.
constexpr std::uint64_t NumberRanges = std::uint64_t(1) << 24;

std::uint64_t firstNumber()
{
    return (std::random_device()() % NumberRanges) << 24;
}

} // namespace

PlacementService::PlacementService(asio::io_context &io, httpio::Timers &timers, Settings settings,
                                   const routing::EndpointRegistry &registry,
                                   observability::Metrics &metrics)
    : socket_(io)
    , timers_(timers)
    , settings_(std::move(settings))
    , registry_(registry)
    , metrics_(metrics)
    , lastNumber_(firstNumber())
{
    const asio::ip::udp::endpoint own(asio::ip::make_address_v4(settings_.ownIp), settings_.port);
    socket_.open(asio::ip::udp::v4());
    socket_.bind(own);
    socket_.non_blocking(true);
}

std::uint64_t PlacementService::place(const routing::PlacementQuery &query, Placed placed)
{
    const std::uint64_t number = ++lastNumber_;
    ask(number, {query, std::move(placed), {}, timers_.now()});
    return number;
}

// Asks the host that places for all; decides here if it is this one.
void PlacementService::ask(std::uint64_t number, Ask ask)
{
    const units::TimePoint now = timers_.now();
    ask.query.targetIn -= now - ask.askedAt;
    ask.query.expiresIn -= now - ask.askedAt;
    ask.askedAt = now;
    ask.sentAt = now;
    ask.isWaiting = false;
    ask.wasRepeated = false;
    ask.decider = ask.query.runsModel
        ? trust_.selectHost(orderFor(ask.query.pool), settings_.ownIp, now)
        : std::string();
    if (ask.decider.empty()) {
        placeAlone(number, ask.query, ask.placed);
        return;
    }
    ask.timeout = timers_.after(AnswerTimeout, [this, number] { onTimeout(number); });
    send(ask.decider, encode(AskMessage{number, ask.query}));
    asks_[number] = std::move(ask);
}

void PlacementService::placeAlone(std::uint64_t number, const routing::PlacementQuery &query,
                                  const Placed &placed)
{
    const routing::PlacementTicket ticket{settings_.ownIp, number};
    const routing::PlacementChoice choice
        = desk_.place(ticket, query, registry_.available(query.pool), timers_.now());
    if (choice.isWaiting)
        ownWaiting_[number] = placed;
    else
        placed(ticket, choice);
}

void PlacementService::tell(const routing::PlacementTicket &ticket, routing::PlacementEvent news)
{
    const auto decider = deciders_.find(ticket.number);
    if (decider == deciders_.end()) {
        desk_.onEvent(ticket, news, timers_.now());
        ownWaiting_.erase(ticket.number);
        placeWaitingSoon();
        return;
    }
    send(decider->second, encode(NewsMessage{ticket.number, news}));
    const bool staysOpen = news == routing::PlacementEvent::FirstEvent
        || news == routing::PlacementEvent::EndpointSilent;
    if (!staysOpen)
        deciders_.erase(decider);
}

const std::string &PlacementService::placedBy(const routing::PlacementTicket &ticket) const
{
    const auto found = deciders_.find(ticket.number);
    return found == deciders_.end() ? settings_.ownIp : found->second;
}

bool PlacementService::hasEndpoint(const routing::PlacementQuery &query) const
{
    return desk_.hasEndpoint(query, registry_.available(query.pool), timers_.now());
}

void PlacementService::setOrders(std::vector<std::string> ofFleet, std::vector<std::string> ofCell)
{
    orderOfFleet_ = std::move(ofFleet);
    orderOfCell_ = std::move(ofCell);
    tellSuccessors();
}

const std::vector<std::string> &PlacementService::orderFor(const units::PoolName &pool) const
{
    return registry_.division().isDivided(pool) ? orderOfCell_ : orderOfFleet_;
}

// Hosts that take over where this one places for others.
std::vector<std::string> PlacementService::successors() const
{
    std::vector<std::string> found;
    const auto addFirstOf = [&](const std::vector<std::string> &order) {
        std::size_t added = 0;
        for (const std::string &host : order) {
            if (added == Successors)
                return;
            if (host == settings_.ownIp)
                continue;
            ++added;
            if (std::find(found.begin(), found.end(), host) == found.end())
                found.push_back(host);
        }
    };
    addFirstOf(orderOfCell_);
    if (!orderOfFleet_.empty() && orderOfFleet_.front() == settings_.ownIp)
        addFirstOf(orderOfFleet_);
    return found;
}

void PlacementService::tellSuccessors()
{
    const std::vector<routing::CachedPart> parts = desk_.takeNewCachedParts();
    if (parts.empty())
        return;
    const std::vector<std::string> hosts = successors();
    for (std::size_t begin = 0; begin < parts.size(); begin += MaxPartsInDatagram) {
        const std::size_t count = std::min(MaxPartsInDatagram, parts.size() - begin);
        const auto first = parts.begin() + std::ptrdiff_t(begin);
        const std::string datagram
            = encode(CachedPartsMessage{{first, first + std::ptrdiff_t(count)}});
        for (const std::string &host : hosts)
            send(host, datagram);
    }
}

void PlacementService::onTimeout(std::uint64_t number)
{
    const auto found = asks_.find(number);
    if (found == asks_.end())
        return;
    const bool isLost = isLostAfterMiss(found->second.decider, found->second.sentAt);
    if (!found->second.wasRepeated && !isLost) {
        Ask &again = found->second;
        again.wasRepeated = true;
        again.sentAt = timers_.now();
        again.timeout = timers_.after(AnswerTimeout, [this, number] { onTimeout(number); });
        send(again.decider, encode(AskMessage{number, again.query}));
        return;
    }
    const Ask ask = std::move(found->second);
    asks_.erase(found);
    metrics_.add("monsoongrade_gateway_placements_unanswered_total");
    // Its late choice must not count as load there.
    send(ask.decider, encode(NewsMessage{number, routing::PlacementEvent::Withdrawn}));
    // Without the other hosts' requests in view, waiting here would only add delay.
    routing::PlacementQuery query = ask.query;
    query.mayWait = false;
    query.isLocalFallback = true;
    placeAlone(number, query, ask.placed);
}

bool PlacementService::isLostAfterMiss(const std::string &host, units::TimePoint asked)
{
    if (!trust_.onAnswerOverdue(host, asked, timers_.now()))
        return false;
    observability::log(observability::LogLevel::Warning, "placing-host-lost", {{"host", host}});
    return true;
}

void PlacementService::planWaitingCheck()
{
    if (isCheckPlanned_)
        return;
    isCheckPlanned_ = true;
    timers_.after(WaitingCheckInterval, [this] {
        isCheckPlanned_ = false;
        checkWaiting();
    });
}

// The answer to a waiting request may be lost, or the placing host with its queue.
void PlacementService::checkWaiting()
{
    std::map<std::string, std::vector<std::uint64_t>> numbers;
    for (const auto &[number, ask] : asks_) {
        if (ask.isWaiting)
            numbers[ask.decider].push_back(number);
    }
    for (const auto &[host, ofHost] : numbers) {
        for (std::size_t begin = 0; begin < ofHost.size(); begin += MaxNumbersInDatagram) {
            const std::size_t end = std::min(begin + MaxNumbersInDatagram, ofHost.size());
            send(host,
                 encode(StillWaitingMessage{{ofHost.begin() + std::ptrdiff_t(begin),
                                             ofHost.begin() + std::ptrdiff_t(end)}}));
        }
        httpio::Timers::Handle &timeout = openChecks_[host];
        timers_.cancel(timeout);
        const units::TimePoint asked = timers_.now();
        timeout = timers_.after(AnswerTimeout,
                                [this, host = host, asked] { onCheckUnanswered(host, asked); });
    }
    if (!numbers.empty())
        planWaitingCheck();
}

void PlacementService::onCheckUnanswered(const std::string &host, units::TimePoint asked)
{
    openChecks_.erase(host);
    if (!isLostAfterMiss(host, asked)) {
        checkWaiting();
        return;
    }
    std::vector<std::uint64_t> numbers;
    for (const auto &[number, ask] : asks_) {
        if (ask.isWaiting && ask.decider == host)
            numbers.push_back(number);
    }
    onMessage(host, NotWaitingMessage{std::move(numbers)});
}

void PlacementService::receive()
{
    socket_.async_receive_from(asio::buffer(buffer_), sender_,
                               [this](const asio::error_code &error, std::size_t count) {
                                   if (error == asio::error::operation_aborted)
                                       return;
                                   // An error here is an ICMP report about an earlier datagram.
                                   if (!error)
                                       onDatagram({buffer_.data(), count});
                                   receive();
                               });
}

void PlacementService::onDatagram(std::string_view datagram)
{
    const std::string host = sender_.address().to_string();
    const auto fault = kj::runCatchingExceptions([&] {
        std::visit([&](const auto &message) { onMessage(host, message); },
                   decodePlacementMessage(datagram));
    });
    KJ_IF_MAYBE (exception, fault) {
        observability::log(observability::LogLevel::Warning, "placement-unreadable",
                           {{"from", host}, {"reason", exception->getDescription().cStr()}});
    }
}

void PlacementService::onMessage(const std::string &host, const AskMessage &message)
{
    metrics_.add("monsoongrade_gateway_placement_asks_total");
    const auto choice = desk_.place({host, message.number}, message.query,
                                    registry_.available(message.query.pool), timers_.now());
    send(host, encode(answerOf(message.number, choice)));
}

void PlacementService::onMessage(const std::string &host, const NewsMessage &message)
{
    desk_.onEvent({host, message.number}, message.news, timers_.now());
    placeWaitingSoon();
}

void PlacementService::onMessage(const std::string &, const CachedPartsMessage &message)
{
    for (const routing::CachedPart &part : message.parts)
        desk_.addCachedPart(part, timers_.now());
}

void PlacementService::onMessage(const std::string &host, const StillWaitingMessage &message)
{
    NotWaitingMessage reply;
    for (const std::uint64_t number : message.numbers) {
        const routing::PlacementTicket ticket{host, number};
        if (desk_.isWaiting(ticket))
            continue;
        if (const auto choice = desk_.choiceOf(ticket))
            send(host, encode(answerOf(number, *choice)));
        else
            reply.numbers.push_back(number);
    }
    send(host, encode(reply));
}

void PlacementService::onMessage(const std::string &host, const NotWaitingMessage &message)
{
    trust_.onAnswer(host);
    timers_.cancel(openChecks_[host]);
    for (const std::uint64_t number : message.numbers) {
        const auto found = asks_.find(number);
        if (found == asks_.end() || !found->second.isWaiting || found->second.decider != host)
            continue; // answered meanwhile
        Ask again = std::move(found->second);
        asks_.erase(found);
        ask(number, std::move(again));
    }
}

// Room may have come: tells the hosts whose waiting requests now have an endpoint.
void PlacementService::placeWaitingSoon()
{
    if (!desk_.hasWaiting() || isPlacingPlanned_)
        return;
    isPlacingPlanned_ = true;
    timers_.after(WaitingInterval, [this] {
        isPlacingPlanned_ = false;
        placeWaiting();
    });
}

void PlacementService::placeWaiting()
{
    for (const auto &[ticket, choice] : desk_.placeWaiting(registry_, timers_.now())) {
        if (ticket.host != settings_.ownIp) {
            send(ticket.host, encode(answerOf(ticket.number, choice)));
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

void PlacementService::withdraw(std::uint64_t number)
{
    const auto found = asks_.find(number);
    if (found != asks_.end()) {
        timers_.cancel(found->second.timeout);
        deciders_[number] = found->second.decider;
        asks_.erase(found);
    }
    tell({settings_.ownIp, number}, routing::PlacementEvent::Withdrawn);
}

void PlacementService::onMessage(const std::string &host, const AnswerMessage &message)
{
    const auto found = asks_.find(message.number);
    if (found == asks_.end() || found->second.decider != host)
        return; // decided otherwise meanwhile
    trust_.onAnswer(host);
    timers_.cancel(found->second.timeout);
    if (message.isWaiting) {
        found->second.isWaiting = true;
        planWaitingCheck();
        return;
    }
    const Ask ask = std::move(found->second);
    asks_.erase(found);
    if (message.retryDelay) {
        routing::PlacementChoice refused;
        refused.retryDelay = message.retryDelay;
        ask.placed({settings_.ownIp, message.number}, std::move(refused));
        return;
    }
    const units::TimePoint now = timers_.now();
    const auto status = registry_.findAvailable(message.endpoint);
    if (status != nullptr && status->health.accepts(now)) {
        deciders_[message.number] = host;
        ask.placed({settings_.ownIp, message.number}, {status, message.tokensToRead});
        return;
    }
    // The other host does not know yet that the endpoint left or fails, or knows of none.
    send(host, encode(NewsMessage{message.number, routing::PlacementEvent::Withdrawn}));
    routing::PlacementQuery query = ask.query;
    query.isLocalFallback = true;
    placeAlone(message.number, query, ask.placed);
}

void PlacementService::send(const std::string &ip, const std::string &datagram)
{
    asio::error_code error;
    const auto address = asio::ip::make_address_v4(ip, error);
    if (!error)
        socket_.send_to(asio::buffer(datagram), {address, settings_.port}, 0, error);
    // A datagram that can't be sent counts as lost; the sender's timeout covers it.
}

} // namespace monsoongrade::gateway
