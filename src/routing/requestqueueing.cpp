#include <monsoongrade/routing/requestplacer.h>

#include <set>
#include <string>
#include <utility>

namespace monsoongrade::routing {

namespace {

// Queued requests that are tried per call. Each waits for the best endpoint for its part and must
// not block the others behind it; trying more takes the placement coordinator too much time.
constexpr std::size_t MaxTriedPerCall = 16;
// Queued requests that are looked at per call. Those with the same part wait for the same endpoint
// and need only one attempt; otherwise a few popular parts would block all others.
constexpr std::size_t MaxSeenPerCall = 4 * MaxTriedPerCall;

} // namespace

PlacementChoice RequestPlacer::queueOrRefuse(const PlacementTicket &ticket,
                                             const PlacementQuery &query, PlacementChoice choice,
                                             std::size_t endpoints, bool isScheduledRetry,
                                             units::TimePoint now)
{
    const auto decide = choice.isRoomExpected() ? &RequestPlacer::queueForRoomOrRefuse
                                                : &RequestPlacer::queueForPrefillOrRefuse;
    return (this->*decide)(ticket, query, std::move(choice), endpoints, isScheduledRetry, now);
}

PlacementChoice RequestPlacer::queueForPrefillOrRefuse(const PlacementTicket &ticket,
                                                       const PlacementQuery &query,
                                                       PlacementChoice choice,
                                                       std::size_t endpoints, bool isScheduledRetry,
                                                       units::TimePoint now)
{
    const units::Duration held = heldFor(query, now);
    const auto forecastFor = [&](const queueing::TokensAhead &ahead) {
        return forecaster_.forecast(ahead, query.targetIn - held, query.expiresIn - held, endpoints,
                                    prefillRates_.of(query.pool).tokensPerMs(now));
    };
    const bool overShare = isOverShare(query);
    queueing::TokensAhead ahead = queue_.tokensAhead(query.tier, overShare);
    // Those of higher tiers go first even if they are late.
    const queueing::TokensAhead above = queue_.tokensAbove(query.tier);
    ahead.onTime += above.late;
    ahead.late -= above.late;
    queueing::RefusalDetails details;
    details.aheadTokens = ahead.onTime + ahead.late;
    details.bookedTokens = returns_.tokensAhead(query.tier);
    queueing::TokensAhead beforeReturn = ahead;
    beforeReturn.onTime += returns_.tokensUntilNext(query.tier);
    // Scheduled retries go before first-time requests.
    ahead.onTime += details.bookedTokens;
    const queueing::WaitForecast forecast = forecastFor(ahead);
    const auto canWait = [&] {
        return forecast.decision == queueing::WaitDecision::Wait
            || (isScheduledRetry
                && forecastFor(queue_.tokensAbove(query.tier)).decision
                    == queueing::WaitDecision::Wait);
    };
    if (canWait()) {
        enqueue(ticket, query, choice.tokensToRead, isScheduledRetry, now);
        return choice;
    }
    std::optional<units::Duration> reserved;
    if (isScheduledRetry)
        returns_.onRefused();
    else if (!overShare) // its reservation would delay those within their share
        reserved
            = returns_.reserve(ticket, query, held + forecastFor(beforeReturn).onTimeWait, now);
    details.returnIn = reserved.value_or(held + forecast.retryDelay);
    details.isBooked = reserved.has_value();
    details.tokensPerMs = forecast.tokensPerMs;
    return refuse(query, details, now);
}

// Turns and slots are not reserved for retries, as endpoints may take them away at any time.
PlacementChoice RequestPlacer::queueForRoomOrRefuse(const PlacementTicket &ticket,
                                                    const PlacementQuery &query,
                                                    PlacementChoice choice, std::size_t endpoints,
                                                    bool isScheduledRetry, units::TimePoint now)
{
    const std::size_t ahead = queue_.requestsAhead(query.pool, query.tier, isOverShare(query));
    const units::Duration held = heldFor(query, now);
    const queueing::WaitForecast forecast
        = roomForecaster_.forecast(query.pool, query.tier, ahead, query.targetIn - held,
                                   query.expiresIn - held, endpoints, now);
    if (forecast.decision == queueing::WaitDecision::Wait) {
        enqueue(ticket, query, query.ownTokens, isScheduledRetry, now);
        choice.unavailable.reset();
        return choice;
    }
    if (isScheduledRetry)
        returns_.onRefused();
    PlacementChoice refused = refuseUntil(query, held + forecast.retryDelay, now);
    refused.unavailable = choice.unavailable;
    return refused;
}

void RequestPlacer::enqueue(const PlacementTicket &ticket, const PlacementQuery &query,
                            std::int64_t tokensToRead, bool isScheduledRetry, units::TimePoint now)
{
    using Arrival = queueing::PrefillQueue::Arrival;
    queue_.add(ticket, query, tokensToRead, now, isOverShare(query),
               isScheduledRetry ? Arrival::ScheduledRetry : Arrival::FirstTime);
}

PlacementChoice RequestPlacer::refuseUntil(const PlacementQuery &query, units::Duration returnIn,
                                           units::TimePoint now)
{
    queueing::RefusalDetails details;
    details.returnIn = returnIn;
    return refuse(query, std::move(details), now);
}

PlacementChoice RequestPlacer::refuse(const PlacementQuery &query, queueing::RefusalDetails details,
                                      units::TimePoint now)
{
    sizeFairness_.of(query.pool, query.tier).onRefused(query.promptTokens, now);
    tierHold_.onRefused(query.pool, query.tier, details.returnIn, now);
    details.heldFor = heldFor(query, now);
    details.pool = query.pool;
    details.tier = query.tier;
    details.workspace = query.workspace;
    details.isOverShare = isOverShare(query);
    PlacementChoice choice;
    choice.retryDelay = details.returnIn;
    choice.isReturnScheduled = details.isBooked;
    choice.refusal = std::move(details);
    return choice;
}

void RequestPlacer::countScheduledRetry(const PlacementChoice &choice)
{
    if (choice.endpoint == nullptr)
        returns_.onRefused();
    else
        returns_.onServed();
}

// The next queued requests, without those that wait for the same endpoint as an earlier one.
std::vector<PlacementTicket> RequestPlacer::nextToTry(units::TimePoint now)
{
    std::vector<PlacementTicket> tickets;
    std::set<std::pair<std::string, std::string>> parts; // with their pools
    for (const PlacementTicket &ticket : queue_.next(MaxSeenPerCall, now)) {
        const PlacementQuery &query = queue_.find(ticket)->query;
        if (heldFor(query, now) > units::Duration::zero())
            continue;
        const bool mayUseAll = query.tried.empty() && query.paused.empty();
        const bool isRepeated = mayUseAll && !query.sharedPart.empty()
            && !parts.emplace(query.pool.value(), query.sharedPart).second;
        if (isRepeated)
            continue;
        tickets.push_back(ticket);
        if (tickets.size() == MaxTriedPerCall)
            break;
    }
    return tickets;
}

std::vector<std::pair<PlacementTicket, PlacementChoice>>
RequestPlacer::placeWaiting(const EndpointRegistry &registry, units::TimePoint now)
{
    fleetShares_.update(now);
    cellShares_.update(now);
    updateShares(now);
    std::vector<std::pair<PlacementTicket, PlacementChoice>> placed;
    std::int64_t drained = 0;
    const auto tryPlace = [&](const PlacementTicket &ticket) {
        const queueing::PrefillQueue::Waiting *waiting = queue_.find(ticket);
        if (waiting == nullptr)
            return false;
        const PlacementQuery query = waiting->query;
        PlacementChoice choice = chooseForModel(query, registry.available(query.pool), now);
        if (choice.isWaiting || choice.isRoomExpected())
            return false;
        drained += choice.tokensToRead;
        if (waiting->arrival == queueing::PrefillQueue::Arrival::ScheduledRetry)
            countScheduledRetry(choice);
        placed.emplace_back(ticket, commit(ticket, query, std::move(choice), now));
        return true;
    };
    for (const queueing::PrefillQueue::Waiting &expired :
         queue_.takeExpired(MaxTriedPerCall, now)) {
        if (expired.arrival == queueing::PrefillQueue::Arrival::ScheduledRetry)
            countScheduledRetry({});
        placed.emplace_back(expired.ticket, refuse(expired.query, {}, now));
    }
    const std::vector<PlacementTicket> tickets = nextToTry(now);
    for (const PlacementTicket &ticket : tickets) {
        const queueing::PrefillQueue::Waiting *waiting = queue_.find(ticket);
        if (waiting == nullptr)
            continue;
        const std::string part = waiting->query.sharedPart;
        const units::Tier tier = waiting->query.tier;
        if (!tryPlace(ticket))
            continue;
        // Requests with the same shared part now need only their own tokens prefilled.
        for (const PlacementTicket &same : queue_.withSharedPart(part)) {
            const PlacementQuery &query = queue_.find(same)->query;
            if (query.tier <= tier && !mustYield(query))
                tryPlace(same);
        }
    }
    if (queue_.isEmpty() || tickets.empty()) // or all that wait are held
        forecaster_.onQueueEmpty();
    else
        forecaster_.onDrained(drained, now);
    // What the requests of higher tiers had no use for.
    for (const PlacementTicket &ticket : std::exchange(yielding_, {})) {
        if (!isWaiting(ticket))
            continue;
        PlacementChoice choice = placeYielding(ticket, registry, now);
        if (!isWaiting(ticket))
            placed.emplace_back(ticket, std::move(choice));
    }
    return placed;
}

// The room that a request had when it arrived may have been taken. It is then queued or refused as
// if it arrived now.
PlacementChoice RequestPlacer::placeYielding(const PlacementTicket &ticket,
                                             const EndpointRegistry &registry, units::TimePoint now)
{
    const PlacementQuery query = queue_.find(ticket)->query;
    const auto &available = registry.available(query.pool);
    PlacementChoice choice = chooseForModel(query, available, now);
    const bool isHeld = heldFor(query, now) > units::Duration::zero();
    if (!isHeld && !choice.isWaiting && !choice.isRoomExpected())
        return commit(ticket, query, std::move(choice), now);
    queue_.remove(ticket);
    return queueOrRefuse(ticket, query, std::move(choice), available.size(), false, now);
}

} // namespace monsoongrade::routing
