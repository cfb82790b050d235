#include <monsoongrade/routing/requestplacer.h>

#include <algorithm>
#include <limits>

namespace monsoongrade::routing {

namespace {

// The event that ends a request may be lost with its datagram or host. Streams last about a second
// and at most 10 s; a prefill takes less than a second except in an overload.
constexpr auto MaxOpenTime = std::chrono::seconds(12);
constexpr auto MaxPrefillTime = std::chrono::seconds(3);
constexpr auto CleanupInterval = std::chrono::milliseconds(250);

} // namespace

PlacementChoice RequestPlacer::place(const PlacementTicket &ticket, const PlacementQuery &query,
                                     const std::vector<EndpointRegistry::Status> &available,
                                     units::TimePoint now)
{
    removeExpired(now);
    shares(query.isPoolDivided).update(now);
    updateShares(now);
    // A repeated query gets the result that was lost. Placing the request again would count it as
    // part of the queue ahead of itself, and could refuse it while it is queued.
    if (const auto earlier = choiceOf(ticket))
        return *earlier;
    if (isWaiting(ticket)) {
        PlacementChoice waiting;
        waiting.isWaiting = true;
        return waiting;
    }
    const bool isScheduledRetry = returns_.onArrived(ticket, query, now);
    if (query.runsModel)
        tierHold_.onArrived(query.pool, query.tier, now);
    if (query.runsModel && hasFairShares_ && !isScheduledRetry)
        workspaceShares_.onArrived(query.pool, query.tier, query.workspace, query.promptTokens,
                                   now);
    PlacementChoice choice = query.runsModel ? chooseForModel(query, available, now)
                                             : chooseLeastLoaded(query, available, now);
    // The client of a stream that has begun has waited already, and the forecast of the queue
    // counts endpoints of all versions.
    const bool mayWait = query.mayWait && !query.softwareVersion;
    const units::Duration held
        = choice.endpoint != nullptr ? heldFor(query, now) : units::Duration::zero();
    const bool isHeld = held > units::Duration::zero();
    choice.isWaiting = choice.isWaiting || choice.isRoomExpected() || isHeld
        || (choice.endpoint != nullptr && mustYield(query));
    const bool isHigherTierWaiting
        = needsTurnOrSlot(choice, now) && queue_.hasHigherTier(query.pool, query.tier);
    // Room is reserved for a scheduled retry.
    if (!choice.isWaiting && isHigherTierWaiting && mayWait && !isScheduledRetry) {
        enqueue(ticket, query, choice.tokensToRead, false, now);
        yielding_.push_back(ticket);
        choice.isWaiting = true;
        return choice;
    }
    if (choice.isWaiting && mayWait)
        return queueOrRefuse(ticket, query, std::move(choice), available.size(), isScheduledRetry,
                             now);
    if (isScheduledRetry)
        countScheduledRetry(choice);
    if (isHeld)
        return refuseUntil(query, held, now);
    return commit(ticket, query, std::move(choice), now);
}

void RequestPlacer::updateShares(units::TimePoint now)
{
    for (const auto &change : workspaceShares_.update(now))
        queue_.setOverShare(change.pool, change.tier, change.workspace, change.isOverShare);
}

bool RequestPlacer::isOverShare(const PlacementQuery &query) const
{
    return query.runsModel && workspaceShares_.isOverShare(query.pool, query.tier, query.workspace);
}

// Without this, requests of an overloading workspace would take the room of those that wait, as
// they arrive more often than the queue is served. Short prefills yield as well.
bool RequestPlacer::mustYield(const PlacementQuery &query) const
{
    return isOverShare(query) && queue_.hasWithinShare(query.pool, query.tier);
}

bool RequestPlacer::needsTurnOrSlot(const PlacementChoice &choice, units::TimePoint now)
{
    return choice.endpoint != nullptr
        && (choice.endpoint->rateLimiter.limit() || choice.endpoint->isBrittle(now));
}

// Short prefills are held too: the prompts of a lower tier may be the larger ones, and are short
// only because their shared parts are cached. The client of a stream that has begun has waited
// already.
units::Duration RequestPlacer::heldFor(const PlacementQuery &query, units::TimePoint now) const
{
    return query.runsModel && !query.softwareVersion
        ? tierHold_.remaining(query.pool, query.tier, now)
        : units::Duration::zero();
}

void RequestPlacer::onRefusedElsewhere(const PlacementQuery &query, units::Duration returnIn,
                                       units::TimePoint now)
{
    if (query.runsModel)
        tierHold_.onRefused(query.pool, query.tier, returnIn, now);
}

PlacementChoice RequestPlacer::commit(const PlacementTicket &ticket, const PlacementQuery &query,
                                      PlacementChoice choice, units::TimePoint now)
{
    choice.isWaiting = false;
    const bool hasWaited = isWaiting(ticket);
    queue_.remove(ticket);
    if (choice.endpoint == nullptr)
        return choice;
    if (hasWaited)
        roomForecaster_.onPlaced(query.pool, query.tier, now);
    const EndpointStatus &endpoint = *choice.endpoint;
    choice.endpoint->rateLimiter.onPlaced(shareFor(query, now));
    choice.isLimited = endpoint.rateLimiter.limit().has_value();
    choice.isWithinSlots = endpoint.isBrittle(now);
    Placed &placed = placed_[ticket];
    placed = {};
    placed.endpoint = choice.endpoint;
    placed.tokensToRead = choice.tokensToRead;
    placed.at = now;
    placed.needsShortPauses = query.needsShortPauses;
    placed.isLimited = choice.isLimited;
    placed.isWithinSlots = choice.isWithinSlots;
    placed.cacheSource = choice.cacheSource;
    // The time of a copy would make the prefill rate and the endpoint look slower than they are.
    const bool isCopied = !choice.cacheSource.isEmpty();
    placed.isSolePrefill = query.runsModel && loads_.of(endpoint).tokensToRead == 0 && !isCopied;
    if (choice.cacheTransfer)
        cacheTransfers_.onPlaced(*choice.cacheTransfer, now);
    loads_.add(endpoint, choice.tokensToRead);
    placed.openRequests = loads_.of(endpoint).openRequests;
    if (query.runsModel) {
        prefillPeriods_.onPlaced(endpoint, choice.tokensToRead,
                                 isCopied ? 0 : tokensPerMs(endpoint, now), now);
        choice.expectedFirstEvent = expectedFirstEvent(endpoint, now);
        if (choice.cacheTransfer && choice.expectedFirstEvent != units::Duration::zero())
            choice.expectedFirstEvent += choice.cacheTransfer->duration;
        placed.expectedFirstEvent = choice.expectedFirstEvent;
    }
    if (query.needsShortPauses)
        reserve_.onStreamOpened(endpoint.registration.pool);
    if (query.runsModel) {
        prefillSizes_[query.pool.value()].add(choice.tokensToRead, now);
        sizeFairness_.of(query.pool, query.tier).onPlaced(query.promptTokens, now);
        if (hasFairShares_)
            workspaceShares_.onPlaced(query.pool, query.tier, query.workspace, query.promptTokens,
                                      now);
    }
    if (query.runsModel && !query.sharedPart.empty()) {
        placed.sharedPart = query.sharedPart;
        const DiscoveredEndpoint &registration = endpoint.registration;
        if (prefixCache_.recordSent(query.sharedPart, registration, now))
            unannouncedParts_.push_back(
                {query.sharedPart, registration.id, registration.incarnation});
    }
    return choice;
}

void RequestPlacer::setPools(const std::vector<TrafficPool> &pools)
{
    pools_.clear();
    for (const TrafficPool &pool : pools)
        pools_[pool.name.value()] = pool;
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
        placed.endpoint->admissionWindow.onAccepted(placed.openRequests);
        loads_.addResult(*placed.endpoint, now);
        break;
    case PlacementEvent::EndpointFailed:
        placed.endpoint->health.onFailure(now);
        break;
    case PlacementEvent::EndpointPaused:
        placed.endpoint->health.onErrorResponse(now);
        if (placed.endpoint->maxRejections)
            placed.endpoint->admissionWindow.onRejected(
                loads_.of(*placed.endpoint).openRequests - 1, *placed.endpoint->maxRejections, now);
        break;
    case PlacementEvent::Withdrawn:
        break;
    }
    release(placed);
    placed_.erase(found);
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
    RateShare share = shareFor(query, now);
    // Its own part may be too small for a request, but the host which this one asks has others'.
    if (share.fraction < 1 && query.hasCoordinator())
        share = {1, std::numeric_limits<double>::infinity(), false};
    return std::any_of(available.begin(), available.end(), [&](const auto &endpoint) {
        return isUsable(*endpoint, query, share, now);
    });
}

std::optional<PlacementChoice> RequestPlacer::choiceOf(const PlacementTicket &ticket) const
{
    const auto found = placed_.find(ticket);
    if (found == placed_.end())
        return std::nullopt;
    PlacementChoice choice;
    choice.endpoint = found->second.endpoint;
    choice.tokensToRead = found->second.tokensToRead;
    choice.isLimited = found->second.isLimited;
    choice.isWithinSlots = found->second.isWithinSlots;
    choice.expectedFirstEvent = found->second.expectedFirstEvent;
    choice.cacheSource = found->second.cacheSource;
    return choice;
}

void RequestPlacer::addCachedPart(const CachedPart &part, units::TimePoint now)
{
    DiscoveredEndpoint endpoint;
    endpoint.id = part.endpoint;
    endpoint.incarnation = part.incarnation;
    prefixCache_.recordAnnounced(part.part, endpoint, now);
}

int RequestPlacer::openRequests(const EndpointStatus &endpoint) const
{
    return loads_.of(endpoint).openRequests;
}

std::size_t RequestPlacer::workspacesOverShare(units::TimePoint now)
{
    updateShares(now);
    return workspaceShares_.overShareCount();
}

std::int64_t RequestPlacer::tokensToRead(const EndpointStatus &endpoint) const
{
    return loads_.of(endpoint).tokensToRead;
}

void RequestPlacer::release(const Placed &placed)
{
    if (placed.needsShortPauses)
        reserve_.onStreamEnded(placed.endpoint->registration.pool);
    prefillPeriods_.onRemoved(*placed.endpoint, placed.tokensToRead);
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
            prefillPeriods_.onRemoved(*placed.endpoint, placed.tokensToRead);
            loads_.removeTokens(*placed.endpoint, placed.tokensToRead);
            placed.tokensToRead = 0;
        }
        ++entry;
    }
}

} // namespace monsoongrade::routing
