#include <monsoongrade/routing/requestplacer.h>

#include <monsoongrade/units/stablehash.h>

#include <algorithm>
#include <limits>

namespace monsoongrade::routing {

namespace {

// While an endpoint prefills a chunk of a prompt, all its streams wait. A prefill therefore costs
// its own tokens, plus this share of them for each stream: longer streams are more likely to be cut
// when their endpoint is lost. A much larger share would protect streams at the price of prefilling
// shared parts again elsewhere.
constexpr double PrefillWeightPerStream = 0.3;
constexpr double RepeatedPrefillWeight = 5;
constexpr double DetourPenaltyWeight = 3;
// Prefills up to this duration are never queued, as they delay others little. On fast engines this
// exempts most long prompts too, so the longest ones bear most of an overload.
constexpr auto LongPrefill = std::chrono::milliseconds(90);
// An endpoint has room for a long prefill while its outstanding prefill is at most this: a short
// request with a target of 250 ms can still be on time, and the endpoint does not become idle in
// the 5 ms until the next placement. The request's own prefill is not counted, otherwise there
// would never be room for the longest prompts.
constexpr auto MaxBacklog = std::chrono::milliseconds(160);
// Limit on the outstanding prefill of a reserved endpoint. When all clients return at once after
// an outage, their short prompts would otherwise queue up on a single endpoint.
constexpr auto MaxBacklogInReserve = std::chrono::milliseconds(120);
// Queued requests that are tried per call. Each waits for the best endpoint for its part and must
// not block the others behind it; trying more takes the placement coordinator too much time.
constexpr std::size_t MaxTriedPerCall = 16;
// Prefills on an endpoint that is slower than expected by this factor reflect its fault and are
// not used to estimate the prefill rate of the pool.
constexpr double MaxSlownessOfSamples = 4;
// Factor added to the load of an endpoint that fails every request.
constexpr double FailurePenalty = 20;
// The event that ends a request may be lost with its datagram or host. Streams last about a second
// and at most 10 s; a prefill takes less than a second except in an overload.
constexpr auto MaxOpenTime = std::chrono::seconds(12);
constexpr auto MaxPrefillTime = std::chrono::seconds(3);
constexpr auto CleanupInterval = std::chrono::milliseconds(250);

std::uint64_t rankHash(const std::string &part, const EndpointStatus &endpoint)
{
    return units::spreadHash({part, endpoint.registration.id.value()});
}

bool contains(const std::vector<units::EndpointId> &ids, const units::EndpointId &id)
{
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}

double penalty(const EndpointStatus &endpoint, units::TimePoint now)
{
    return endpoint.health.slowness(now) * (1 + FailurePenalty * endpoint.health.failureRate(now));
}

} // namespace

// The coordinator places for all hosts and so may use the whole limit of a model pool's endpoint.
double RequestPlacer::shareFor(const PlacementQuery &query) const
{
    return query.runsModel && !query.isLocalFallback ? 1 : ownShare_;
}

bool RequestPlacer::isUsable(const EndpointStatus &endpoint, const PlacementQuery &query,
                             units::TimePoint now) const
{
    const units::EndpointId &id = endpoint.registration.id;
    return !contains(query.tried, id) && !contains(query.paused, id) && !endpoint.leaving
        && endpoint.health.accepts(now) && endpoint.rateLimiter.allows(shareFor(query), now);
}

PlacementChoice RequestPlacer::place(const PlacementTicket &ticket, const PlacementQuery &query,
                                     const std::vector<EndpointRegistry::Status> &available,
                                     units::TimePoint now)
{
    removeExpired(now);
    // A repeated query gets the result that was lost. Placing the request again would count it as
    // part of the queue ahead of itself, and could refuse it while it is queued.
    if (const auto earlier = choiceOf(ticket))
        return *earlier;
    if (isWaiting(ticket)) {
        PlacementChoice waiting;
        waiting.isWaiting = true;
        return waiting;
    }
    PlacementChoice choice = query.runsModel ? chooseForModel(query, available, now)
                                             : chooseLeastLoaded(query, available, now);
    if (choice.isWaiting && query.mayWait)
        return queueOrRefuse(ticket, query, std::move(choice), available.size(), now);
    return commit(ticket, query, std::move(choice), now);
}

PlacementChoice RequestPlacer::queueOrRefuse(const PlacementTicket &ticket,
                                             const PlacementQuery &query, PlacementChoice choice,
                                             std::size_t endpoints, units::TimePoint now)
{
    const WaitForecast forecast
        = forecaster_.forecast(queue_.tokensAhead(query.tier), query.targetIn, query.expiresIn,
                               endpoints, prefillRates_.of(query.pool).tokensPerMs(now));
    if (forecast.decision == WaitDecision::Wait) {
        queue_.add(ticket, query, choice.tokensToRead, now);
        return choice;
    }
    choice = {};
    choice.retryDelay = forecast.retryDelay;
    return choice;
}

PlacementChoice RequestPlacer::commit(const PlacementTicket &ticket, const PlacementQuery &query,
                                      PlacementChoice choice, units::TimePoint now)
{
    choice.isWaiting = false;
    queue_.remove(ticket);
    if (choice.endpoint == nullptr)
        return choice;
    const EndpointStatus &endpoint = *choice.endpoint;
    choice.endpoint->rateLimiter.onPlaced(shareFor(query), now);
    Placed &placed = placed_[ticket];
    placed = {choice.endpoint, choice.tokensToRead, now, query.needsShortPauses};
    placed.isSolePrefill = query.runsModel && loads_.of(endpoint).tokensToRead == 0;
    loads_.add(endpoint, choice.tokensToRead);
    if (query.needsShortPauses)
        reserve_.onStreamOpened(endpoint.registration.pool);
    if (query.runsModel && !query.sharedPart.empty()) {
        const DiscoveredEndpoint &registration = endpoint.registration;
        if (prefixCache_.recordSent(query.sharedPart, registration, now))
            unannouncedParts_.push_back(
                {query.sharedPart, registration.id, registration.incarnation});
    }
    return choice;
}

std::vector<std::pair<PlacementTicket, PlacementChoice>>
RequestPlacer::placeWaiting(const EndpointRegistry &registry, units::TimePoint now)
{
    std::vector<std::pair<PlacementTicket, PlacementChoice>> placed;
    std::int64_t drained = 0;
    const auto tryPlace = [&](const PlacementTicket &ticket) {
        const PrefillQueue::Waiting *waiting = queue_.find(ticket);
        if (waiting == nullptr)
            return false;
        const PlacementQuery query = waiting->query;
        PlacementChoice choice = chooseForModel(query, registry.available(query.pool), now);
        if (choice.isWaiting)
            return false;
        drained += choice.tokensToRead;
        placed.emplace_back(ticket, commit(ticket, query, std::move(choice), now));
        return true;
    };
    for (const PlacementTicket &ticket : queue_.takeExpired(MaxTriedPerCall, now)) {
        placed.emplace_back(ticket, PlacementChoice{});
        placed.back().second.retryDelay = units::Duration::zero();
    }
    for (const PlacementTicket &ticket : queue_.next(MaxTriedPerCall, now)) {
        const PrefillQueue::Waiting *waiting = queue_.find(ticket);
        const std::string part = waiting == nullptr ? std::string() : waiting->query.sharedPart;
        if (!tryPlace(ticket))
            continue;
        // Requests with the same shared part now need only their own tokens prefilled.
        for (const PlacementTicket &same : queue_.withSharedPart(part))
            tryPlace(same);
    }
    if (queue_.isEmpty())
        forecaster_.onQueueEmpty();
    else
        forecaster_.onDrained(drained, now);
    return placed;
}

bool RequestPlacer::hasRoomInReserve(const EndpointStatus &endpoint, std::int64_t maxBacklog) const
{
    return loads_.of(endpoint).tokensToRead < maxBacklog;
}

// The usable endpoints on the request's side of the reserve; if there are none, all usable ones.
RequestPlacer::Candidates
RequestPlacer::candidatesFor(const PlacementQuery &query,
                             const std::vector<EndpointRegistry::Status> &available,
                             units::TimePoint now)
{
    const ShortPauseReserve::Endpoints &reserved
        = reserve_.endpoints(query.pool, available, now, query.poolServesShortPauses ? 1 : 0,
                             query.needsShortPauses ? 1 : 0);
    const std::int64_t maxBacklog = prefillRates_.of(query.pool).tokensIn(MaxBacklogInReserve, now);
    Candidates usable;
    Candidates byReserve;
    for (const EndpointRegistry::Status &endpoint : available) {
        if (!isUsable(*endpoint, query, now))
            continue;
        usable.push_back(&endpoint);
        const bool isFull = query.needsShortPauses && !hasRoomInReserve(*endpoint, maxBacklog);
        const bool isReserved = reserved.count(endpoint.get()) != 0;
        if (isReserved == query.needsShortPauses && !isFull)
            byReserve.push_back(&endpoint);
    }
    return byReserve.empty() ? usable : byReserve;
}

PlacementChoice
RequestPlacer::chooseForModel(const PlacementQuery &query,
                              const std::vector<EndpointRegistry::Status> &available,
                              units::TimePoint now)
{
    const Candidates candidates = candidatesFor(query, available, now);
    PlacementChoice choice;
    double best = std::numeric_limits<double>::infinity();
    const std::int64_t shared = query.promptTokens - query.ownTokens;
    const PrefillRate &rate = prefillRates_.of(query.pool);
    const std::int64_t longPrefill = rate.tokensIn(LongPrefill, now);
    const std::int64_t maxBacklogTokens = rate.tokensIn(MaxBacklog, now);
    const EndpointStatus *first = firstByHash(query, candidates);
    const std::vector<PrefixCacheIndex::Holder> *holders = prefixCache_.holders(query.sharedPart);
    const bool isCachedSomewhere
        = std::any_of(candidates.begin(), candidates.end(), [&](const auto *endpoint) {
              return PrefixCacheIndex::holds(holders, (*endpoint)->registration, now);
          });
    for (const EndpointRegistry::Status *candidate : candidates) {
        const EndpointRegistry::Status &endpoint = *candidate;
        const std::int64_t sharedToPrefill
            = PrefixCacheIndex::holds(holders, endpoint->registration, now) ? 0 : shared;
        const std::int64_t tokensToPrefill = query.ownTokens + sharedToPrefill;
        const EndpointLoad load = loads_.of(*endpoint);
        // Penalty for deviating from the default choice: a host that places locally, or a new
        // coordinator, looks for the part on the first endpoint by hash.
        const double detourPenalty = isCachedSomewhere
            ? double(sharedToPrefill) * RepeatedPrefillWeight
            : endpoint.get() == first ? 0.0
                                      : double(shared) * DetourPenaltyWeight;
        const double streamDelay = double(tokensToPrefill) * load.streams * PrefillWeightPerStream;
        const double cost
            = (double(load.tokensToRead + tokensToPrefill) + streamDelay + detourPenalty)
            * penalty(*endpoint, now);
        const bool hasRoom
            = tokensToPrefill <= longPrefill || load.tokensToRead <= maxBacklogTokens;
        if (cost < best) {
            best = cost;
            choice = {endpoint, tokensToPrefill};
            choice.isWaiting = !hasRoom;
        }
    }
    return choice;
}

const EndpointStatus *RequestPlacer::firstByHash(const PlacementQuery &query,
                                                 const Candidates &candidates)
{
    const EndpointStatus *first = nullptr;
    std::uint64_t firstHash = 0;
    for (const EndpointRegistry::Status *endpoint : candidates) {
        const std::uint64_t hash = rankHash(query.sharedPart, **endpoint);
        if (first == nullptr || hash > firstHash) {
            first = endpoint->get();
            firstHash = hash;
        }
    }
    return first;
}

PlacementChoice
RequestPlacer::chooseLeastLoaded(const PlacementQuery &query,
                                 const std::vector<EndpointRegistry::Status> &available,
                                 units::TimePoint now) const
{
    PlacementChoice choice;
    double best = std::numeric_limits<double>::infinity();
    for (const EndpointRegistry::Status &endpoint : available) {
        const EndpointLoad load = loads_.of(*endpoint);
        if (!isUsable(*endpoint, query, now) || load.openRequests >= endpoint->registration.slots)
            continue;
        const bool isNear = endpoint->registration.failureDomain == query.requesterDomain;
        const double cost = (1 + load.openRequests) * penalty(*endpoint, now) + (isNear ? 0 : 0.5);
        if (cost < best) {
            best = cost;
            choice.endpoint = endpoint;
        }
    }
    return choice;
}

void RequestPlacer::onEvent(const PlacementTicket &ticket, PlacementEvent event,
                            units::TimePoint now)
{
    queue_.remove(ticket);
    const auto found = placed_.find(ticket);
    if (found == placed_.end())
        return;
    Placed &placed = found->second;
    switch (event) {
    case PlacementEvent::FirstEvent:
        onFirstEvent(placed, now);
        return;
    case PlacementEvent::EndpointSilent:
        onEndpointSilent(placed, now);
        return;
    case PlacementEvent::Completed:
        loads_.addResult(*placed.endpoint, now);
        break;
    case PlacementEvent::EndpointFailed:
        placed.endpoint->health.onFailure(now);
        break;
    case PlacementEvent::EndpointPaused:
        placed.endpoint->health.onErrorResponse(now);
        break;
    case PlacementEvent::Withdrawn:
        break;
    }
    release(placed);
    placed_.erase(found);
}

void RequestPlacer::onFirstEvent(Placed &placed, units::TimePoint now)
{
    const EndpointStatus &endpoint = *placed.endpoint;
    loads_.addResult(endpoint, now);
    if (placed.isSolePrefill && endpoint.health.slowness(now) < MaxSlownessOfSamples)
        prefillRates_.addSample(endpoint.registration.pool, placed.tokensToRead, now - placed.at,
                                now);
    placed.isSolePrefill = false;
    loads_.removeTokens(endpoint, placed.tokensToRead);
    placed.tokensToRead = 0;
    if (!placed.isStreaming)
        loads_.addStream(endpoint);
    placed.isStreaming = true;
}

void RequestPlacer::onEndpointSilent(const Placed &placed, units::TimePoint now)
{
    if (loads_.of(*placed.endpoint).lastResultAt < placed.at)
        placed.endpoint->health.onSilence(now);
}

bool RequestPlacer::hasEndpoint(const PlacementQuery &query,
                                const std::vector<EndpointRegistry::Status> &available,
                                units::TimePoint now) const
{
    return std::any_of(available.begin(), available.end(),
                       [&](const auto &endpoint) { return isUsable(*endpoint, query, now); });
}

std::optional<PlacementChoice> RequestPlacer::choiceOf(const PlacementTicket &ticket) const
{
    const auto found = placed_.find(ticket);
    if (found == placed_.end())
        return std::nullopt;
    return PlacementChoice{found->second.endpoint, found->second.tokensToRead};
}

void RequestPlacer::addCachedPart(const CachedPart &part, units::TimePoint now)
{
    DiscoveredEndpoint endpoint;
    endpoint.id = part.endpoint;
    endpoint.incarnation = part.incarnation;
    prefixCache_.recordSent(part.part, endpoint, now);
}

int RequestPlacer::openRequests(const EndpointStatus &endpoint) const
{
    return loads_.of(endpoint).openRequests;
}

std::int64_t RequestPlacer::tokensToRead(const EndpointStatus &endpoint) const
{
    return loads_.of(endpoint).tokensToRead;
}

void RequestPlacer::release(const Placed &placed)
{
    if (placed.needsShortPauses)
        reserve_.onStreamEnded(placed.endpoint->registration.pool);
    loads_.end(*placed.endpoint, placed.tokensToRead, placed.isStreaming);
}

void RequestPlacer::removeExpired(units::TimePoint now)
{
    if (now < nextCleanupAt_)
        return;
    nextCleanupAt_ = now + CleanupInterval;
    for (auto entry = placed_.begin(); entry != placed_.end();) {
        Placed &placed = entry->second;
        if (now - placed.at >= MaxOpenTime) {
            release(placed);
            entry = placed_.erase(entry);
            continue;
        }
        if (placed.tokensToRead > 0 && now - placed.at >= MaxPrefillTime) {
            loads_.removeTokens(*placed.endpoint, placed.tokensToRead);
            placed.tokensToRead = 0;
        }
        ++entry;
    }
}

} // namespace monsoongrade::routing
