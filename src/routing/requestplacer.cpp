#include <monsoongrade/routing/requestplacer.h>

#include <monsoongrade/units/stablehash.h>

#include <algorithm>
#include <limits>

namespace monsoongrade::routing {

namespace {

// While an endpoint reads a chunk of a prompt, all streams that it runs wait. A read therefore
// costs its own tokens, and this share of them once more for each stream, so that streams do not
// run long enough to be cut with a lost endpoint. A much larger share would spare streams by
// reading shared parts again elsewhere.
constexpr double ReadWeightPerStream = 0.3;
constexpr double ReadAgainWeight = 5;
constexpr double DetourWeight = 3;
// A read of up to this time needs no room: it disturbs little. On fast engines this exempts most
// long prompts too, and the longest bear most of an overload.
constexpr auto LongRead = std::chrono::milliseconds(90);
// An endpoint has room while no more than this waits there: a short request with a target of 250 ms
// still finds its way, and the endpoint does not run dry in the 5 ms that the next placement takes.
// What the read itself adds does not count, or there would never be room for the longest prompts.
constexpr auto MaxReadsBefore = std::chrono::milliseconds(160);
// A kept endpoint takes at most this much to read. When clients return all at once after an outage,
// their short prompts would else wait behind each other on a single one.
constexpr auto MaxReadsInReserve = std::chrono::milliseconds(120);
// Waiting requests that are tried when room has come. Each waits for the endpoint that is best for
// its part and must not hold up the others; more would cost the placing host too much time.
constexpr std::size_t MaxTriedAtOnce = 16;
// Reads of an endpoint that answers this many times as slowly as expected tell of its fault and not
// of the pool's engines.
constexpr double MaxSlownessToLearnFrom = 4;
// An endpoint that fails every request counts as if it were this many times as loaded.
constexpr double FailurePenalty = 20;
// News of an end may be lost with its datagram or its host. Streams last about a second, the
// longest allowed ones 10 s; reading a prompt takes below a second except in an overload.
constexpr auto MaxOpenTime = std::chrono::seconds(12);
constexpr auto MaxReadTime = std::chrono::seconds(3);
constexpr auto CleaningInterval = std::chrono::milliseconds(250);

std::uint64_t rankHash(const std::string &part, const EndpointStatus &endpoint)
{
    return units::spreadHash({part, endpoint.registration.id.value()});
}

double penalty(const EndpointStatus &endpoint, units::TimePoint now)
{
    return endpoint.health.slowness(now) * (1 + FailurePenalty * endpoint.health.failureRate(now));
}

} // namespace

// A model pool's limit is used up by the one host that places for all.
double RequestPlacer::shareFor(const PlacementQuery &query) const
{
    return query.runsModel && !query.isLocalFallback ? 1 : ownShare_;
}

bool RequestPlacer::isUsable(const EndpointStatus &endpoint, const PlacementQuery &query,
                             units::TimePoint now) const
{
    const bool wasTried
        = std::find(query.tried.begin(), query.tried.end(), endpoint.registration.id)
        != query.tried.end();
    return !wasTried && !endpoint.leaving && endpoint.health.accepts(now)
        && endpoint.rateLimiter.allows(shareFor(query), now);
}

PlacementChoice RequestPlacer::place(const PlacementTicket &ticket, const PlacementQuery &query,
                                     const std::vector<EndpointRegistry::Status> &available,
                                     units::TimePoint now)
{
    forgetOld(now);
    // The answer to an ask that is repeated is the one that was lost. Placing anew would count the
    // request itself as part of the queue before it, and could refuse it while it still waits.
    if (const auto earlier = choiceOf(ticket))
        return *earlier;
    if (isWaiting(ticket)) {
        PlacementChoice waiting;
        waiting.isWaiting = true;
        return waiting;
    }
    PlacementChoice choice = query.runsModel ? chooseForModel(query, available, now)
                                             : chooseForPlain(query, available, now);
    if (choice.isWaiting && query.mayWait)
        return queueOrRefuse(ticket, query, std::move(choice), available.size(), now);
    return commit(ticket, query, std::move(choice), now);
}

PlacementChoice RequestPlacer::queueOrRefuse(const PlacementTicket &ticket,
                                             const PlacementQuery &query, PlacementChoice choice,
                                             std::size_t endpoints, units::TimePoint now)
{
    const WaitForecast forecast
        = forecaster_.forecast(waiting_.tokensAhead(query.tier), query.targetIn, query.expiresIn,
                               endpoints, readSpeeds_.of(query.pool).tokensPerMs(now));
    if (forecast.decision == WaitDecision::Wait) {
        waiting_.add(ticket, query, choice.tokensToRead, now);
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
    waiting_.remove(ticket);
    if (choice.endpoint == nullptr)
        return choice;
    const EndpointStatus &endpoint = *choice.endpoint;
    choice.endpoint->rateLimiter.onPlaced(shareFor(query), now);
    Placed &placed = placed_[ticket];
    placed = {choice.endpoint, choice.tokensToRead, now, query.needsShortPauses};
    placed.isOnlyRead = query.runsModel && loads_.of(endpoint).tokensToRead == 0;
    loads_.add(endpoint, choice.tokensToRead);
    if (query.needsShortPauses)
        reserve_.opened(endpoint.registration.pool);
    if (query.runsModel && !query.sharedPart.empty()) {
        const DiscoveredEndpoint &described = endpoint.registration;
        if (memory_.remember(query.sharedPart, described, now))
            newParts_.push_back({query.sharedPart, described.id, described.incarnation});
    }
    return choice;
}

std::vector<std::pair<PlacementTicket, PlacementChoice>>
RequestPlacer::placeWaiting(const EndpointRegistry &registry, units::TimePoint now)
{
    std::vector<std::pair<PlacementTicket, PlacementChoice>> placed;
    std::int64_t drained = 0;
    const auto tryPlace = [&](const PlacementTicket &ticket) {
        const PrefillQueue::Waiting *waiting = waiting_.find(ticket);
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
    for (const PlacementTicket &ticket : waiting_.takeGivenUp(MaxTriedAtOnce, now)) {
        placed.emplace_back(ticket, PlacementChoice{});
        placed.back().second.retryDelay = units::Duration::zero();
    }
    for (const PlacementTicket &ticket : waiting_.next(MaxTriedAtOnce, now)) {
        const PrefillQueue::Waiting *waiting = waiting_.find(ticket);
        const std::string part = waiting == nullptr ? std::string() : waiting->query.sharedPart;
        if (!tryPlace(ticket))
            continue;
        // Those that wait for the same part need only their own tokens read now.
        for (const PlacementTicket &same : waiting_.withPart(part))
            tryPlace(same);
    }
    if (waiting_.isEmpty())
        forecaster_.idle();
    else
        forecaster_.drained(drained, now);
    return placed;
}

bool RequestPlacer::hasRoomInReserve(const EndpointStatus &endpoint, std::int64_t maxToRead) const
{
    return loads_.of(endpoint).tokensToRead < maxToRead;
}

// Endpoints by the reserve; if it leaves none, all that can be used.
RequestPlacer::Candidates
RequestPlacer::candidatesFor(const PlacementQuery &query,
                             const std::vector<EndpointRegistry::Status> &available,
                             units::TimePoint now)
{
    const ShortPauseReserve::Endpoints &reserved
        = reserve_.endpoints(query.pool, available, now, query.poolServesShortPauses ? 1 : 0,
                             query.needsShortPauses ? 1 : 0);
    const std::int64_t maxToRead = readSpeeds_.of(query.pool).tokensIn(MaxReadsInReserve, now);
    Candidates usable;
    Candidates byReserve;
    for (const EndpointRegistry::Status &endpoint : available) {
        if (!isUsable(*endpoint, query, now))
            continue;
        usable.push_back(&endpoint);
        const bool isFull = query.needsShortPauses && !hasRoomInReserve(*endpoint, maxToRead);
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
    const PrefillRate &speed = readSpeeds_.of(query.pool);
    const std::int64_t longRead = speed.tokensIn(LongRead, now);
    const std::int64_t maxBefore = speed.tokensIn(MaxReadsBefore, now);
    const EndpointStatus *first = firstByHash(query, candidates);
    const std::vector<PrefixCacheIndex::Holder> *holders = memory_.holders(query.sharedPart);
    const bool isKnownSomewhere
        = std::any_of(candidates.begin(), candidates.end(), [&](const auto *endpoint) {
              return PrefixCacheIndex::holds(holders, (*endpoint)->registration, now);
          });
    for (const EndpointRegistry::Status *candidate : candidates) {
        const EndpointRegistry::Status &endpoint = *candidate;
        const std::int64_t again
            = PrefixCacheIndex::holds(holders, endpoint->registration, now) ? 0 : shared;
        const std::int64_t toRead = query.ownTokens + again;
        const EndpointLoad load = loads_.of(*endpoint);
        // What a choice other than that of all hosts may cost later: a host that decides alone, or
        // takes over, looks for the part on the first endpoint by hash.
        const double detour = isKnownSomewhere ? double(again) * ReadAgainWeight
            : endpoint.get() == first          ? 0.0
                                               : double(shared) * DetourWeight;
        const double delayOfStreams = double(toRead) * load.streams * ReadWeightPerStream;
        const double cost = (double(load.tokensToRead + toRead) + delayOfStreams + detour)
            * penalty(*endpoint, now);
        const bool hasRoom = toRead <= longRead || load.tokensToRead <= maxBefore;
        if (cost < best) {
            best = cost;
            choice = {endpoint, toRead};
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
RequestPlacer::chooseForPlain(const PlacementQuery &query,
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

void RequestPlacer::onEvent(const PlacementTicket &ticket, PlacementEvent news,
                            units::TimePoint now)
{
    waiting_.remove(ticket);
    const auto found = placed_.find(ticket);
    if (found == placed_.end())
        return;
    Placed &placed = found->second;
    switch (news) {
    case PlacementEvent::FirstEvent:
        noteFirstEvent(placed, now);
        return;
    case PlacementEvent::EndpointSilent:
        noteSilence(placed, now);
        return;
    case PlacementEvent::Completed:
        loads_.addResult(*placed.endpoint, now);
        break;
    case PlacementEvent::EndpointFailed:
        placed.endpoint->health.onFailure(now);
        break;
    case PlacementEvent::Withdrawn:
        break;
    }
    end(placed);
    placed_.erase(found);
}

void RequestPlacer::noteFirstEvent(Placed &placed, units::TimePoint now)
{
    const EndpointStatus &endpoint = *placed.endpoint;
    loads_.addResult(endpoint, now);
    if (placed.isOnlyRead && endpoint.health.slowness(now) < MaxSlownessToLearnFrom)
        readSpeeds_.onRead(endpoint.registration.pool, placed.tokensToRead, now - placed.at, now);
    placed.isOnlyRead = false;
    loads_.removeTokens(endpoint, placed.tokensToRead);
    placed.tokensToRead = 0;
    if (!placed.isStreaming)
        loads_.addStream(endpoint);
    placed.isStreaming = true;
}

void RequestPlacer::noteSilence(const Placed &placed, units::TimePoint now)
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
    memory_.remember(part.part, endpoint, now);
}

int RequestPlacer::openRequests(const EndpointStatus &endpoint) const
{
    return loads_.of(endpoint).openRequests;
}

std::int64_t RequestPlacer::tokensToRead(const EndpointStatus &endpoint) const
{
    return loads_.of(endpoint).tokensToRead;
}

void RequestPlacer::end(const Placed &placed)
{
    if (placed.needsShortPauses)
        reserve_.ended(placed.endpoint->registration.pool);
    loads_.end(*placed.endpoint, placed.tokensToRead, placed.isStreaming);
}

void RequestPlacer::forgetOld(units::TimePoint now)
{
    if (now < nextCleaning_)
        return;
    nextCleaning_ = now + CleaningInterval;
    for (auto entry = placed_.begin(); entry != placed_.end();) {
        Placed &placed = entry->second;
        if (now - placed.at >= MaxOpenTime) {
            end(placed);
            entry = placed_.erase(entry);
            continue;
        }
        if (placed.tokensToRead > 0 && now - placed.at >= MaxReadTime) {
            loads_.removeTokens(*placed.endpoint, placed.tokensToRead);
            placed.tokensToRead = 0;
        }
        ++entry;
    }
}

} // namespace monsoongrade::routing
