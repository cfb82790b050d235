#include <monsoongrade/routing/requestplacer.h>

#include <monsoongrade/units/stablehash.h>

#include <algorithm>
#include <cmath>
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
// Prefills are never queued if they are at most this long, as they delay others little, and at most
// this share of the size that a token belongs to on average. On engines so fast that nearly all
// prefills are short by time alone, the largest ones would bear all of an overload.
constexpr auto LongPrefill = std::chrono::milliseconds(90);
constexpr double LongShareOfMean = 0.75;
// An endpoint has room for a long prefill while its outstanding prefill is at most this: a short
// request with a target of 250 ms can still be on time, and the endpoint does not become idle in
// the 5 ms until the next placement. The request's own prefill is not counted, otherwise there
// would never be room for the longest prompts.
constexpr auto MaxBacklog = std::chrono::milliseconds(160);
// Limit on the outstanding prefill of a reserved endpoint. When all clients return at once after
// an outage, their short prompts would otherwise queue up on a single endpoint.
constexpr auto MaxBacklogInReserve = std::chrono::milliseconds(120);
// Allowed in a sum of shares, which should be a whole number of slots.
constexpr double RoundingError = 1e-6;
// Factor added to the load of an endpoint that fails every request.
constexpr double FailurePenalty = 20;

// What the shared part of a prompt costs on an endpoint, in prompt tokens.
struct SharedPartCost
{
    std::int64_t toPrefill = 0;
    double copying = 0; // prefilled during the time of the copy
    const prefixcache::CacheTransferPlan *copy = nullptr;
};

// The cost on an endpoint that lacks the part. A copy is planned only where it is cheaper.
SharedPartCost costOfSharedPart(std::int64_t shared, const DiscoveredEndpoint &endpoint,
                                const prefixcache::CacheTransferSources &sources,
                                const performance::PrefillRate &rate, units::TimePoint now)
{
    const prefixcache::CacheTransferPlan *copy = sources.planFor(endpoint);
    if (copy == nullptr)
        return {shared};
    return {0, double(rate.tokensIn(copy->duration, now)), copy};
}

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

RateShare RequestPlacer::shareFor(const PlacementQuery &query, units::TimePoint now) const
{
    const ShareDelegation &shareOfPool = shares(query.isPoolDivided);
    return query.hasCoordinator() ? shareOfPool.availableShare(now) : shareOfPool.ownShare(now);
}

RequestPlacer::Availability RequestPlacer::availabilityOf(const EndpointStatus &endpoint,
                                                          const PlacementQuery &query,
                                                          const RateShare &share,
                                                          units::TimePoint now) const
{
    const units::EndpointId &id = endpoint.registration.id;
    if (contains(query.tried, id) || contains(query.paused, id) || endpoint.leaving
        || !hasPermittedVersion(endpoint.registration, query))
        return Availability::Excluded;
    if (!endpoint.health.accepts(now))
        return Availability::Suspended;
    if (!endpoint.rateLimiter.allows(share, now))
        return Availability::RateLimited;
    return hasSlot(endpoint, share, now) ? Availability::Usable : Availability::WithoutSlot;
}

UnavailableEndpoints
RequestPlacer::unavailableFor(const PlacementQuery &query,
                              const std::vector<EndpointRegistry::Status> &available,
                              units::TimePoint now) const
{
    const RateShare share = shareFor(query, now);
    UnavailableEndpoints unavailable;
    unavailable.pool = query.pool;
    unavailable.tier = query.tier;
    for (const EndpointRegistry::Status &endpoint : available) {
        switch (availabilityOf(*endpoint, query, share, now)) {
        case Availability::Usable:
            break;
        case Availability::Excluded:
            ++unavailable.excluded;
            break;
        case Availability::Suspended:
            ++unavailable.suspended;
            break;
        case Availability::RateLimited:
            ++unavailable.rateLimited;
            break;
        case Availability::WithoutSlot:
            ++unavailable.withoutSlot;
            break;
        }
    }
    return unavailable;
}

// An endpoint that survives few rejections gets no more requests than it can run: how many it lets
// wait may shrink at any moment. A host whose share is less than a slot has none, since the hosts
// would together use more than there are.
bool RequestPlacer::hasSlot(const EndpointStatus &endpoint, const RateShare &share,
                            units::TimePoint now) const
{
    if (!endpoint.isBrittle(now))
        return true;
    const int ownSlots
        = int(std::floor(endpoint.registration.slots * share.fraction + RoundingError));
    const int open = loads_.of(endpoint).openRequests;
    return open < ownSlots && endpoint.admissionWindow.admits(open, *endpoint.maxRejections, now);
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
    const RateShare share = shareFor(query, now);
    Candidates usable;
    Candidates byReserve;
    for (const EndpointRegistry::Status &endpoint : available) {
        if (!isUsable(*endpoint, query, share, now))
            continue;
        usable.push_back(&endpoint);
        const bool isFull = query.needsShortPauses && !hasRoomInReserve(*endpoint, maxBacklog);
        const bool isReserved = reserved.count(endpoint.get()) != 0;
        if (isReserved == query.needsShortPauses && !isFull)
            byReserve.push_back(&endpoint);
    }
    return byReserve.empty() ? usable : byReserve;
}

struct RequestPlacer::Assessment
{
    const EndpointRegistry::Status *endpoint = nullptr;
    std::int64_t tokensToPrefill = 0;
    const prefixcache::CacheTransferPlan *copy = nullptr; // of the shared part; null: none
    // Prompt tokens that an endpoint with the speed 1 prefills in the time.
    double cost = std::numeric_limits<double>::infinity();
    bool isShort = true; // its prefill
    bool hasRoom = true; // for a long prefill
};

struct RequestPlacer::CostBasis
{
    const EndpointStatus *first = nullptr; // by hash
    const std::vector<prefixcache::PrefixCacheIndex::Holder> *holders = nullptr; // of the part
    bool isCachedSomewhere = false;
    double precedence = 1; // of short prefills
    std::optional<double> meanPrefill;
    double longPrefill = 0; // a prefill of more tokens is long
    std::int64_t maxBacklog = 0; // in tokens of an endpoint with the speed 1
    const performance::PrefillRate *rate = nullptr;
    const prefixcache::CacheTransferSources *sources = nullptr;
};

RequestPlacer::CostBasis RequestPlacer::costBasisFor(const PlacementQuery &query,
                                                     const Candidates &candidates,
                                                     units::TimePoint now)
{
    CostBasis basis;
    const performance::PrefillRate &rate = prefillRates_.of(query.pool);
    const performance::PrefillSizes &sizes = prefillSizes_[query.pool.value()];
    basis.precedence = sizeFairness_.of(query.pool, query.tier).shortPrecedence(now);
    basis.meanPrefill = sizes.mean(now);
    const auto longByTime = double(rate.tokensIn(LongPrefill, now));
    const double longBySize = sizes.meanByTokens(now).value_or(longByTime) * LongShareOfMean;
    basis.longPrefill = basis.precedence * std::min(longByTime, longBySize);
    basis.maxBacklog = rate.tokensIn(MaxBacklog, now);
    basis.rate = &rate;
    basis.first = firstByHash(query, candidates);
    basis.holders = prefixCache_.holders(query.sharedPart);
    basis.isCachedSomewhere
        = std::any_of(candidates.begin(), candidates.end(), [&](const auto *endpoint) {
              return prefixcache::PrefixCacheIndex::holds(basis.holders, (*endpoint)->registration,
                                                          now);
          });
    return basis;
}

PlacementChoice
RequestPlacer::chooseForModel(const PlacementQuery &query,
                              const std::vector<EndpointRegistry::Status> &available,
                              units::TimePoint now)
{
    const Candidates candidates = candidatesFor(query, available, now);
    const prefixcache::CacheTransferSources sources = cacheSourcesFor(query, available, now);
    CostBasis basis = costBasisFor(query, candidates, now);
    basis.sources = &sources;
    Assessment best;
    for (const EndpointRegistry::Status *candidate : candidates) {
        const Assessment assessment = assess(*candidate, query, basis, now);
        if (assessment.cost < best.cost)
            best = assessment;
    }
    PlacementChoice choice;
    if (best.endpoint == nullptr) {
        choice.unavailable = unavailableFor(query, available, now);
        return choice;
    }
    choice.endpoint = *best.endpoint;
    choice.tokensToRead = best.tokensToPrefill;
    choice.isWaiting = !best.hasRoom;
    if (best.copy != nullptr) {
        choice.cacheSource = best.copy->source;
        choice.cacheTransfer = *best.copy;
    }
    return choice;
}

RequestPlacer::Assessment RequestPlacer::assess(const EndpointRegistry::Status &endpoint,
                                                const PlacementQuery &query, const CostBasis &basis,
                                                units::TimePoint now) const
{
    const std::int64_t shared = query.promptTokens - query.ownTokens;
    const bool isHeld = basis.isCachedSomewhere
        && prefixcache::PrefixCacheIndex::holds(basis.holders, endpoint->registration, now);
    const SharedPartCost sharedCost = isHeld
        ? SharedPartCost{}
        : costOfSharedPart(shared, endpoint->registration, *basis.sources, *basis.rate, now);
    const std::int64_t tokensToPrefill = query.ownTokens + sharedCost.toPrefill;
    const EndpointLoad &load = loads_.of(*endpoint);
    // Penalty for deviating from the default choice: a host that places locally, or a new
    // coordinator, looks for the part on the first endpoint by hash.
    const double detourPenalty = basis.isCachedSomewhere || sharedCost.copy != nullptr
        ? double(sharedCost.toPrefill) * RepeatedPrefillWeight
        : endpoint.get() == basis.first ? 0.0
                                        : double(shared) * DetourPenaltyWeight;
    // With its own size alone, each long prompt would wait for the endpoint with the fewest
    // streams while others have room.
    const double delayingTokens = basis.precedence * double(tokensToPrefill)
        + (1 - basis.precedence) * basis.meanPrefill.value_or(double(tokensToPrefill));
    const double streamDelay = delayingTokens * load.streams * PrefillWeightPerStream;
    const double tokens = double(load.tokensToRead + tokensToPrefill) + streamDelay + detourPenalty;
    const double copying = sharedCost.copying * (1 + RepeatedPrefillWeight);
    const double speed = speedOf(*endpoint, now);
    Assessment assessment;
    assessment.endpoint = &endpoint;
    assessment.tokensToPrefill = tokensToPrefill;
    assessment.copy = sharedCost.copy;
    assessment.cost = (tokens / speed + copying) * penalty(*endpoint, now);
    assessment.isShort = double(tokensToPrefill) <= basis.longPrefill * speed;
    assessment.hasRoom
        = assessment.isShort || double(load.tokensToRead) <= double(basis.maxBacklog) * speed;
    return assessment;
}

double RequestPlacer::speedOf(const EndpointStatus &endpoint, units::TimePoint now) const
{
    const performance::EndpointSpeedModel &model = speedModel_ == nullptr ? speeds_ : *speedModel_;
    return model.relativeSpeed(endpoint.registration.pool, endpoint.registration, now);
}

// No copies in pools whose configuration does not describe them, nor for a stream that continues.
prefixcache::CacheTransferSources
RequestPlacer::cacheSourcesFor(const PlacementQuery &query,
                               const std::vector<EndpointRegistry::Status> &available,
                               units::TimePoint now)
{
    const auto pool = pools_.find(query.pool.value());
    if (pool == pools_.end() || !pool->second.cacheTransfer || query.softwareVersion)
        return prefixcache::CacheTransferSources({});
    prefixcache::CacheTransferDemand demand;
    demand.tokens = query.promptTokens - query.ownTokens;
    demand.transfer = *pool->second.cacheTransfer;
    demand.tokensPerMs = highestRates_[query.pool.value()].tokensPerMs();
    demand.target = query.targetIn;
    return cacheTransfers_.sources(demand, prefixCache_.holders(query.sharedPart), available,
                                   query.tried, now);
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
    const RateShare share = shareFor(query, now);
    PlacementChoice choice;
    double best = std::numeric_limits<double>::infinity();
    for (const EndpointRegistry::Status &endpoint : available) {
        const EndpointLoad load = loads_.of(*endpoint);
        if (!isUsable(*endpoint, query, share, now)
            || load.openRequests >= endpoint->registration.slots)
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

} // namespace monsoongrade::routing
