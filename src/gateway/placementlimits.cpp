#include <monsoongrade/gateway/placementservice.h>

#include <gateway/internal/placementmessages.h>

#include <monsoongrade/observability/log.h>
#include <monsoongrade/units/stablehash.h>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <limits>

namespace monsoongrade::gateway {

namespace {

// How long an announcement of rejections is taken to hold for new endpoints of the pool. A crashed
// endpoint is replaced within seconds.
constexpr auto PresumedFor = std::chrono::seconds(30);

} // namespace

using namespace internal;

void PlacementService::setLiveHosts(HostPosition inFleet, HostPosition inCell)
{
    const auto set = [this](HostPosition position, bool isOfCell, double &phase) {
        const double share = 1.0 / std::max(position.hosts, 1);
        placer_.shares(isOfCell).setOwnShare(share, timers_.now());
        phase = position.ownIndex * share;
    };
    set(inFleet, false, fleetPhase_);
    set(inCell, true, cellPhase_);
}

routing::ShareDelegation &PlacementService::sharesOf(const units::PoolName &pool)
{
    return placer_.shares(registry_.division().isDivided(pool));
}

double PlacementService::limitShare() const
{
    return placer_.shares(!registry_.division().pools().empty())
        .availableShare(timers_.now())
        .fraction;
}

// A host without callers lends its share as well: an unused one would be lost to the endpoints.
void PlacementService::lendIdleShares()
{
    if (announcements_.limited() + announcements_.brittle() == 0)
        return;
    const units::TimePoint now = timers_.now();
    const auto lend = [&](const std::vector<std::string> &ranking, bool isOfCell) {
        routing::ShareDelegation &shares = placer_.shares(isOfCell);
        const std::string coordinator = selector_.selectHost(ranking, settings_.ownIp, now);
        if (coordinator.empty() || !shares.isRenewalDue(now))
            return;
        if (const double share = shares.lendTo(coordinator, now); share > 0)
            socket_.send(coordinator, encode(LoanMessage{share, isOfCell}));
    };
    lend(fleetRanking_, false);
    if (!registry_.division().pools().empty())
        lend(cellRanking_, true);
}

void PlacementService::onMessage(const std::string &host, const LoanMessage &message)
{
    placer_.shares(message.isOfCell).borrow(host, message.lentShare, timers_.now());
}

bool PlacementService::setLimits(routing::EndpointStatus &endpoint,
                                 const routing::AnnouncedLimits &limits)
{
    // The hosts take turns; which of them is first differs between endpoints.
    const double first = double(units::spreadHash({endpoint.registration.id.value()}))
        / double(std::numeric_limits<std::uint64_t>::max());
    const bool isDivided = registry_.division().isDivided(endpoint.registration.pool);
    const double phase = isDivided ? cellPhase_ : fleetPhase_;
    const bool isChanged = endpoint.rateLimiter.setLimit(
        limits.requests, std::fmod(phase + first, 1.0), timers_.now());
    poolRejections_[endpoint.registration.pool.value()] = {limits.rejections, timers_.now()};
    const bool areRejectionsChanged = endpoint.maxRejections != limits.rejections;
    endpoint.maxRejections = limits.rejections;
    endpoint.maxRejectionsUntil = units::TimePoint::max();
    return isChanged || areRejectionsChanged;
}

// The entry may be of another process than the one that announced the limits, which then end.
void PlacementService::applyKnownLimits(const routing::DiscoveredEndpoint &listed)
{
    const routing::EndpointInstance instance = routing::instanceOf(listed);
    const auto endpoint = registry_.find(instance);
    if (endpoint == nullptr)
        return;
    if (const routing::AnnouncedLimits *known = announcements_.limitsOf(instance)) {
        setLimits(*endpoint, *known);
        return;
    }
    const units::TimePoint now = timers_.now();
    endpoint->rateLimiter.setLimit(std::nullopt, 0, now);
    const auto ofPool = poolRejections_.find(listed.pool.value());
    const bool isPresumed = endpoint->lastReceivedAt == units::TimePoint{}
        && ofPool != poolRejections_.end() && ofPool->second.rejections
        && now < ofPool->second.at + PresumedFor;
    if (!isPresumed)
        return;
    endpoint->maxRejections = ofPool->second.rejections;
    endpoint->maxRejectionsUntil = ofPool->second.at + PresumedFor;
}

void PlacementService::receiveLimits(const routing::RateLimitUpdate &update,
                                     std::string_view source)
{
    if (!announcements_.setLimits(update.endpoint, update.limits, timers_.now() - update.age))
        return;
    const auto endpoint = registry_.findAvailable(update.endpoint.id);
    if (endpoint == nullptr)
        return;
    const bool wasLimited = endpoint->rateLimiter.limit().has_value();
    const bool wasBrittle = endpoint->maxRejections.has_value();
    applyKnownLimits(endpoint->registration);
    const auto &limit = endpoint->rateLimiter.limit();
    if (limit.has_value() != wasLimited)
        observability::log(observability::LogLevel::Info, "endpoint-limit-learned",
                           {{"endpoint", update.endpoint.id.value()},
                            {"requests-per-second", limit.value_or(-1)},
                            {"source", source}});
    if (endpoint->maxRejections.has_value() != wasBrittle)
        observability::log(observability::LogLevel::Info, "endpoint-rejections-learned",
                           {{"endpoint", update.endpoint.id.value()},
                            {"rejections-per-second", endpoint->maxRejections.value_or(-1)},
                            {"source", source}});
}

} // namespace monsoongrade::gateway
