#include "limitedfleet.h"

#include <algorithm>
#include <cmath>

namespace monsoongrade::routing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr units::TimePoint Start{std::chrono::hours(1)};
constexpr auto LimitsAnnouncedAt = seconds(3);
constexpr auto Length = seconds(16);
constexpr auto UseMeasuredFor = seconds(4);

constexpr auto NetworkDelay = milliseconds(1);
constexpr auto AnswerTimeout = milliseconds(25);
constexpr auto GossipInterval = milliseconds(250);
constexpr std::size_t GossipRecipients = 7;
constexpr std::size_t GossipItems = 25;
constexpr auto LossNoticedAfter = milliseconds(2500);
constexpr auto TimeToFirstEvent = milliseconds(60);
constexpr auto TimeToEnd = milliseconds(700);
const units::PoolName Pool("p");

} // namespace

LimitedFleet::LimitedFleet(const Settings &settings)
    : settings_(settings)
    , random_(settings.seed)
    , engines_(settings.endpoints)
    , now_(Start)
{
    for (std::size_t i = 0; i < settings.hosts; ++i)
        addHost();
    for (std::size_t i = 0; i < settings.limited; ++i)
        engines_[i].isLimited = true;
    std::shuffle(engines_.begin(), engines_.end(), random_);
}

void LimitedFleet::addHost()
{
    const std::size_t number = hosts_.size();
    hosts_.push_back(std::make_unique<Host>(wallClock_));
    Host &host = *hosts_.back();
    const bool asksOtherFirst = settings_.isOrderSplit && number % 2 == 1;
    host.order = asksOtherFirst ? std::vector<std::string>{ipOf(1), ipOf(0)}
                                : std::vector<std::string>{ipOf(0), ipOf(1)};
    host.shares().setOwnShare(1.0 / double(settings_.hosts), now_);
    host.phase = std::fmod(double(number) / double(settings_.hosts), 1.0);
    for (std::size_t endpoint = 0; endpoint < settings_.endpoints; ++endpoint) {
        DiscoveredEndpoint listed;
        listed.id = units::EndpointId(std::to_string(endpoint));
        listed.pool = Pool;
        listed.slots = 64;
        host.registry.update(listed);
    }
    schedule(milliseconds(random_() % 250), [this, number] { gossip(number); });
}

void LimitedFleet::schedule(units::Duration delay, std::function<void()> run)
{
    events_.schedule(now_ + delay, std::move(run));
}

LimitedFleet::Result LimitedFleet::play()
{
    begin();
    if (settings_.coordinatorLostAt)
        schedule(*settings_.coordinatorLostAt, [this] { loseCoordinator(); });
    if (settings_.coordinatorJoinsAt)
        schedule(*settings_.coordinatorJoinsAt, [this] { joinCoordinator(); });
    while (events_.nextAt() < Start + Length) {
        const EventQueue::Event next = events_.take();
        now_ = next.at;
        next.run();
    }
    return result();
}

void LimitedFleet::loseCoordinator()
{
    hosts_[0]->isRunning = false;
    schedule(LossNoticedAfter, [this] {
        for (const auto &host : hosts_)
            host->order = {ipOf(1), ipOf(2)};
    });
}

void LimitedFleet::joinCoordinator()
{
    addHost();
    const std::vector<std::string> order{ipOf(hosts_.size() - 1), ipOf(0)};
    for (const auto &host : hosts_)
        schedule(milliseconds(random_() % 1000),
                 [asking = host.get(), order] { asking->order = order; });
}

void LimitedFleet::setLimit(Host &host, const EndpointInstance &endpoint)
{
    host.registry.findAvailable(endpoint.id)
        ->rateLimiter.setLimit(host.announcements.limitsOf(endpoint)->requests, host.phase, now_);
}

void LimitedFleet::receive(std::size_t host, const RateLimitUpdate &update)
{
    if (hosts_[host]->announcements.setLimits(update.endpoint, update.limits, now_ - update.age))
        setLimit(*hosts_[host], update.endpoint);
}

void LimitedFleet::gossip(std::size_t host)
{
    schedule(GossipInterval, [this, host] { gossip(host); });
    if (!hosts_[host]->isRunning)
        return;
    lendIdleShare(host);
    const auto updates = hosts_[host]->announcements.takeLimitUpdates(GossipItems, now_);
    for (std::size_t i = 0; i < GossipRecipients && !updates.empty(); ++i) {
        const std::size_t recipient = random_() % hosts_.size();
        schedule(NetworkDelay, [this, recipient, updates] {
            for (const RateLimitUpdate &update : updates)
                receive(recipient, update);
        });
    }
}

void LimitedFleet::lendIdleShare(std::size_t host)
{
    Host &lender = *hosts_[host];
    const std::string coordinator = lender.selector.selectHost(lender.order, ipOf(host), now_);
    if (coordinator.empty() || !lender.shares().isRenewalDue(now_))
        return;
    const double share = lender.shares().lendTo(coordinator, now_);
    schedule(NetworkDelay, [this, host, coordinator, share] {
        hosts_[std::stoul(coordinator)]->shares().borrow(ipOf(host), share, now_);
    });
}

void LimitedFleet::begin()
{
    std::exponential_distribution<double> gapSeconds(settings_.requestsPerSecond);
    schedule(std::chrono::duration_cast<units::Duration>(
                 std::chrono::duration<double>(gapSeconds(random_))),
             [this] { begin(); });
    Request request;
    request.host = settings_.hostsWithoutCallers
        + random_() % (settings_.hosts - settings_.hostsWithoutCallers);
    request.query.pool = Pool;
    request.query.runsModel = true;
    request.query.sharedPart = std::to_string(random_() % 2000);
    request.query.ownTokens = 500 + std::int64_t(random_() % 3000);
    request.query.promptTokens = request.query.ownTokens + 8000;
    request.query.targetIn = seconds(1);
    request.query.expiresIn = seconds(8);
    if (hosts_[request.host]->isRunning)
        ask(std::move(request));
}

void LimitedFleet::ask(Request request)
{
    Host &host = *hosts_[request.host];
    request.ticket = {ipOf(request.host), ++lastNumber_};
    const std::string coordinator = host.selector.selectHost(host.order, ipOf(request.host), now_);
    if (coordinator.empty()) {
        placeLocally(request);
        return;
    }
    const std::size_t placing = std::stoul(coordinator);
    const double share = host.shares().lendTo(coordinator, now_);
    const units::TimePoint askedAt = now_;
    schedule(NetworkDelay, [this, request, placing, coordinator, share, askedAt] {
        Host &asked = *hosts_[placing];
        if (!asked.isRunning) {
            schedule(2 * AnswerTimeout, [this, request, coordinator, askedAt] {
                hosts_[request.host]->selector.onAnswerOverdue(coordinator, askedAt, now_);
                placeLocally(request);
            });
            return;
        }
        asked.shares().borrow(ipOf(request.host), share, now_);
        if (request.limit)
            receive(placing, *request.limit);
        const PlacementChoice choice = placeAt(placing, request);
        const bool isLate = double(random_() % 1000) < settings_.lateAnswers * 1000;
        schedule(NetworkDelay, [this, request, placing, coordinator, choice, askedAt, isLate] {
            if (!isLate) {
                onAnswer(request, placing, choice);
                return;
            }
            hosts_[request.host]->selector.onAnswerOverdue(coordinator, askedAt,
                                                           askedAt + 2 * AnswerTimeout);
            hosts_[placing]->placer.onEvent(request.ticket, PlacementEvent::Withdrawn, now_);
            placeLocally(request);
        });
    });
}

PlacementChoice LimitedFleet::placeAt(std::size_t placing, const Request &request)
{
    Host &host = *hosts_[placing];
    return host.placer.place(request.ticket, request.query, host.registry.available(Pool), now_);
}

void LimitedFleet::placeLocally(const Request &request)
{
    hosts_[request.host]->shares().keep(now_);
    send(request, request.host, placeAt(request.host, request));
}

void LimitedFleet::onAnswer(Request request, std::size_t placing, const PlacementChoice &choice)
{
    Host &host = *hosts_[request.host];
    host.selector.onAnswer(ipOf(placing));
    if (choice.endpoint == nullptr) {
        placeLocally(request);
        return;
    }
    const DiscoveredEndpoint &chosen = choice.endpoint->registration;
    const bool isLimitUnknown
        = host.registry.findAvailable(chosen.id)->rateLimiter.limit() && !choice.isLimited;
    if (!isLimitUnknown) {
        send(request, placing, choice);
        return;
    }
    hosts_[placing]->placer.onEvent(request.ticket, PlacementEvent::Withdrawn, now_);
    if (request.limit) {
        placeLocally(request);
        return;
    }
    request.limit = host.announcements.limitUpdateOf(instanceOf(chosen), now_);
    ask(std::move(request));
}

// The request arrives at the engine, which responds.
void LimitedFleet::send(const Request &request, std::size_t placing, const PlacementChoice &choice)
{
    if (choice.endpoint == nullptr)
        return;
    const EndpointInstance endpoint = instanceOf(choice.endpoint->registration);
    Engine &engine = engines_[std::stoul(endpoint.id.value())];
    engine.lastArrivals += now_ >= Start + Length - UseMeasuredFor ? 1 : 0;
    engine.arrivals.onArrival(ipOf(request.host), now_);
    const bool announces = engine.isLimited && now_ >= Start + LimitsAnnouncedAt;
    const PlacementTicket ticket = request.ticket;
    schedule(TimeToFirstEvent, [this, host = request.host, placing, ticket, endpoint, announces] {
        hosts_[placing]->placer.onEvent(ticket, PlacementEvent::FirstEvent, now_);
        if (!announces)
            return;
        tests::LimitedArrivals &arrivals = engines_[std::stoul(endpoint.id.value())].arrivals;
        arrivals.onAnnounced(now_);
        arrivals.onTold(ipOf(host), now_);
        receive(host, {endpoint, {settings_.limit, {}}, units::Duration::zero()});
    });
    schedule(TimeToEnd, [this, placing, ticket] {
        hosts_[placing]->placer.onEvent(ticket, PlacementEvent::Completed, now_);
    });
}

LimitedFleet::Result LimitedFleet::result() const
{
    Result result;
    result.allowed = tests::LimitedArrivals::allowed(settings_.limit);
    int usedRequests = 0;
    for (const Engine &engine : engines_) {
        result.most = std::max(result.most, engine.arrivals.most());
        usedRequests += engine.isLimited ? engine.lastArrivals : 0;
    }
    result.used = double(usedRequests)
        / (settings_.limit * double(UseMeasuredFor.count()) * double(settings_.limited));
    return result;
}

} // namespace monsoongrade::routing
