#include <monsoongrade/gateway/placementservice.h>

#include <gateway/internal/packedmessage.h>
#include <gateway/internal/placementmessages.h>

#include <monsoongrade/observability/log.h>

#include <algorithm>
#include <random>

namespace monsoongrade::gateway {

namespace {

using namespace internal;

constexpr std::size_t MaxDatagramBytes = 4096;
// Hosts that are told which prompt parts are cached where. Two hosts may be lost at the same time.
constexpr std::size_t Successors = 2;
// Entries have about 40 bytes, so that the datagram stays below 1,400 bytes.
constexpr std::size_t MaxPartsInDatagram = 25;
// Ticket numbers start at a random multiple, below this one, of 2^24. A restarted host that started
// at 1 would get answers to requests of its last run, which the coordinator keeps for 12 s.
constexpr std::uint64_t NumberRanges = std::uint64_t(1) << 24;

std::uint64_t firstNumber()
{
    return (std::random_device()() % NumberRanges) << 24;
}

} // namespace

PlacementService::PlacementService(asio::io_context &io, httpio::Timers &timers, Settings settings,
                                   const routing::EndpointRegistry &registry,
                                   routing::EndpointAnnouncements &announcements,
                                   RateLimitedLog &log)
    : socket_(io, settings.ownIp, settings.port, MaxDatagramBytes,
              DatagramSocket::AddressReuse::Forbidden)
    , timers_(timers)
    , settings_(std::move(settings))
    , registry_(registry)
    , announcements_(announcements)
    , log_(log)
    , metrics_(log.metrics)
    , lastNumber_(firstNumber())
{
    placer_.setFairShares(settings_.hasFairShares);
}

void PlacementService::start()
{
    socket_.receive([this](std::string_view datagram, const asio::ip::udp::endpoint &sender) {
        onDatagram(datagram, sender);
    });
}

std::uint64_t PlacementService::place(const routing::PlacementQuery &query, PlacedHandler placed)
{
    const std::uint64_t number = ++lastNumber_;
    sendOrPlace(number, {query, std::move(placed), {}, timers_.now()});
    return number;
}

// Sends the query to the coordinator, or places the request if this host is the coordinator.
void PlacementService::sendOrPlace(std::uint64_t number, PendingQuery pending)
{
    const units::TimePoint now = timers_.now();
    pending.query.targetIn -= now - pending.updatedAt;
    pending.query.expiresIn -= now - pending.updatedAt;
    pending.updatedAt = now;
    pending.sentAt = now;
    pending.isWaiting = false;
    pending.wasRepeated = false;
    pending.query.isPoolDivided = registry_.division().isDivided(pending.query.pool);
    pending.query.isCoordinated
        = !pending.query.runsModel && hasBrittleEndpoint(pending.query.pool);
    pending.coordinator = pending.query.hasCoordinator()
        ? selector_.selectHost(rankingFor(pending.query.pool), settings_.ownIp, now)
        : std::string();
    if (pending.coordinator.empty()) {
        placeLocally(number, pending.query, pending.placed);
        return;
    }
    pending.timeout = timers_.after(AnswerTimeout, [this, number] { onTimeout(number); });
    sendQuery(number, pending);
    pending_[number] = std::move(pending);
}

void PlacementService::sendQuery(std::uint64_t number, const PendingQuery &pending)
{
    const double lentShare
        = sharesOf(pending.query.pool).lendTo(pending.coordinator, timers_.now());
    socket_.send(pending.coordinator,
                 encode(QueryMessage{number, pending.query, lentShare, pending.limit}));
}

void PlacementService::placeLocally(std::uint64_t number, const routing::PlacementQuery &query,
                                    const PlacedHandler &placed)
{
    const routing::PlacementTicket ticket{settings_.ownIp, number};
    if (query.hasCoordinator())
        sharesOf(query.pool).keep(timers_.now());
    const routing::PlacementChoice choice
        = placer_.place(ticket, query, registry_.available(query.pool), timers_.now());
    noteRefusal(ticket, choice);
    if (!choice.isWaiting) {
        placed(ticket, choice);
        return;
    }
    localWaiting_[number] = placed;
    schedulePlaceWaiting();
}

void PlacementService::report(const routing::PlacementTicket &ticket, routing::PlacementEvent event)
{
    const auto coordinator = coordinators_.find(ticket.number);
    if (coordinator == coordinators_.end()) {
        placer_.onEvent(ticket, event, timers_.now());
        localWaiting_.erase(ticket.number);
        schedulePlaceWaiting();
        return;
    }
    socket_.send(coordinator->second, encode(EventMessage{ticket.number, event}));
    const bool staysOpen = event == routing::PlacementEvent::FirstEvent
        || event == routing::PlacementEvent::EndpointSilent;
    if (!staysOpen)
        coordinators_.erase(coordinator);
}

const std::string &PlacementService::placedBy(const routing::PlacementTicket &ticket) const
{
    const auto found = coordinators_.find(ticket.number);
    return found == coordinators_.end() ? settings_.ownIp : found->second;
}

bool PlacementService::hasEndpoint(const routing::PlacementQuery &query) const
{
    routing::PlacementQuery coordinated = query;
    coordinated.isCoordinated = !query.runsModel && hasBrittleEndpoint(query.pool);
    return placer_.hasEndpoint(coordinated, registry_.available(query.pool), timers_.now());
}

// The slots of a plain endpoint that survives few rejections are often fewer than the hosts, so
// that only one host that knows all open requests can fill them.
bool PlacementService::hasBrittleEndpoint(const units::PoolName &pool) const
{
    if (poolRejections_.empty())
        return false;
    const auto &endpoints = registry_.available(pool);
    return std::any_of(
        endpoints.begin(), endpoints.end(),
        [now = timers_.now()](const auto &endpoint) { return endpoint->isBrittle(now); });
}

void PlacementService::setCoordinatorRankings(std::vector<std::string> ofFleet,
                                              std::vector<std::string> ofCell)
{
    fleetRanking_ = std::move(ofFleet);
    cellRanking_ = std::move(ofCell);
    updateSuccessors();
    lendIdleShares();
    exportReturnCounts();
}

void PlacementService::exportReturnCounts()
{
    const routing::queueing::ReturnSchedule::Counts counts = placer_.takeReturnCounts();
    metrics_.add("monsoongrade_gateway_returns_booked_total", {}, counts.booked);
    metrics_.add("monsoongrade_gateway_returns_served_total", {}, counts.served);
    metrics_.add("monsoongrade_gateway_returns_refused_total", {}, counts.refused);
    metrics_.add("monsoongrade_gateway_returns_missed_total", {}, counts.missed);
}

const std::vector<std::string> &PlacementService::rankingFor(const units::PoolName &pool) const
{
    return registry_.division().isDivided(pool) ? cellRanking_ : fleetRanking_;
}

// Returns the hosts that take over if this host is coordinator and is lost.
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
    addFirstOf(cellRanking_);
    if (!fleetRanking_.empty() && fleetRanking_.front() == settings_.ownIp)
        addFirstOf(fleetRanking_);
    return found;
}

void PlacementService::updateSuccessors()
{
    logSpeeds();
    const std::vector<std::string> hosts = successors();
    sendSpeeds(hosts);
    const std::vector<routing::CachedPart> parts = placer_.takeNewCachedParts();
    if (parts.empty())
        return;
    for (std::size_t begin = 0; begin < parts.size(); begin += MaxPartsInDatagram) {
        const std::size_t count = std::min(MaxPartsInDatagram, parts.size() - begin);
        const auto first = parts.begin() + std::ptrdiff_t(begin);
        const std::string datagram
            = encode(CachedPartsMessage{{first, first + std::ptrdiff_t(count)}});
        for (const std::string &host : hosts)
            socket_.send(host, datagram);
    }
}

void PlacementService::onTimeout(std::uint64_t number)
{
    const auto found = pending_.find(number);
    if (found == pending_.end())
        return;
    const bool isLost = isLostAfterTimeout(found->second.coordinator, found->second.sentAt);
    if (!found->second.wasRepeated && !isLost) {
        PendingQuery &again = found->second;
        again.wasRepeated = true;
        again.sentAt = timers_.now();
        again.timeout = timers_.after(AnswerTimeout, [this, number] { onTimeout(number); });
        sendQuery(number, again);
        return;
    }
    const PendingQuery pending = std::move(found->second);
    pending_.erase(found);
    metrics_.add("monsoongrade_gateway_placements_unanswered_total");
    // A late choice of the coordinator must not count as load there.
    socket_.send(pending.coordinator,
                 encode(EventMessage{number, routing::PlacementEvent::Withdrawn}));
    // Since this host does not know the other hosts' requests, queueing would only add delay.
    routing::PlacementQuery query = pending.query;
    query.mayWait = false;
    placeLocally(number, query, pending.placed);
}

bool PlacementService::isLostAfterTimeout(const std::string &host, units::TimePoint sentAt)
{
    if (!selector_.onAnswerOverdue(host, sentAt, timers_.now()))
        return false;
    observability::log(observability::LogLevel::Warning, "placing-host-lost", {{"host", host}});
    return true;
}

void PlacementService::onDatagram(std::string_view datagram, const asio::ip::udp::endpoint &sender)
{
    const auto fault = readFault([&] {
        std::visit(
            [&](auto &&message) {
                onMessage(sender.address().to_string(), std::forward<decltype(message)>(message));
            },
            decodePlacementMessage(datagram));
    });
    if (fault)
        observability::log(observability::LogLevel::Warning, "placement-unreadable",
                           {{"from", sender.address().to_string()}, {"reason", *fault}});
}

void PlacementService::onMessage(const std::string &host, QueryMessage message)
{
    metrics_.add("monsoongrade_gateway_placement_asks_total");
    routing::PlacementQuery &query = message.query;
    query.isPoolDivided = registry_.division().isDivided(query.pool);
    sharesOf(query.pool).borrow(host, message.lentShare, timers_.now());
    if (message.limit)
        receiveLimits(*message.limit, "query");
    const auto choice = placer_.place({host, message.number}, query,
                                      registry_.available(query.pool), timers_.now());
    noteRefusal({host, message.number}, choice);
    socket_.send(host, encode(answerFor(message.number, choice)));
    if (choice.isWaiting)
        schedulePlaceWaiting();
}

void PlacementService::onMessage(const std::string &host, const EventMessage &message)
{
    placer_.onEvent({host, message.number}, message.event, timers_.now());
    schedulePlaceWaiting();
}

void PlacementService::onMessage(const std::string &, const CachedPartsMessage &message)
{
    for (const routing::CachedPart &part : message.parts)
        placer_.addCachedPart(part, timers_.now());
}

void PlacementService::withdraw(std::uint64_t number)
{
    const auto found = pending_.find(number);
    if (found != pending_.end()) {
        timers_.cancel(found->second.timeout);
        coordinators_[number] = found->second.coordinator;
        pending_.erase(found);
    }
    report({settings_.ownIp, number}, routing::PlacementEvent::Withdrawn);
}

void PlacementService::onMessage(const std::string &host, const AnswerMessage &message)
{
    const auto found = pending_.find(message.number);
    if (found == pending_.end() || found->second.coordinator != host)
        return; // placed by other means meanwhile
    selector_.onAnswer(host);
    timers_.cancel(found->second.timeout);
    if (message.isWaiting) {
        found->second.isWaiting = true;
        scheduleWaitingCheck();
        return;
    }
    PendingQuery pending = std::move(found->second);
    pending_.erase(found);
    if (message.retryDelay) {
        placer_.onRefusedElsewhere(pending.query, *message.retryDelay, timers_.now());
        routing::PlacementChoice refused;
        refused.retryDelay = message.retryDelay;
        refused.isReturnScheduled = message.isReturnScheduled;
        pending.placed({settings_.ownIp, message.number}, std::move(refused));
        return;
    }
    const units::TimePoint now = timers_.now();
    const auto status = registry_.findAvailable(message.endpoint);
    const bool isUsable = status != nullptr && status->health.accepts(now)
        && routing::hasPermittedVersion(status->registration, pending.query);
    const bool isRateUncounted = isUsable && status->rateLimiter.limit() && !message.isLimited;
    // A coordinator of an older build does not count slots even if it is told, and is trusted then.
    // What is only presumed of an endpoint can't be told.
    const bool areSlotsUncounted = isUsable && status->isBrittle(now) && !message.isWithinSlots
        && !pending.limit
        && announcements_.limitsOf(routing::instanceOf(status->registration)) != nullptr;
    const bool isLimitUnknown = isRateUncounted || areSlotsUncounted;
    if (isUsable && !isLimitUnknown) {
        coordinators_[message.number] = host;
        routing::PlacementChoice choice;
        choice.endpoint = status;
        choice.tokensToRead = message.tokensToRead;
        choice.expectedFirstEvent = message.expectedFirstEvent;
        choice.cacheSource = message.cacheSource;
        pending.placed({settings_.ownIp, message.number}, std::move(choice));
        return;
    }
    // The coordinator knows no endpoint, does not know yet that this one left, fails or is limited,
    // or runs a build that ignores software versions.
    socket_.send(host, encode(EventMessage{message.number, routing::PlacementEvent::Withdrawn}));
    if (isLimitUnknown && !pending.limit) {
        pending.limit = announcements_.limitUpdateOf(routing::instanceOf(status->registration),
                                                     timers_.now());
        sendOrPlace(message.number, std::move(pending));
        return;
    }
    placeLocally(message.number, pending.query, pending.placed);
}

} // namespace monsoongrade::gateway
