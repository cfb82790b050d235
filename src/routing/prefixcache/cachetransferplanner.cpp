#include <monsoongrade/routing/prefixcache/cachetransferplanner.h>

#include <algorithm>

namespace monsoongrade::routing::prefixcache {

namespace {

// Copies that may be outstanding on the link of a source. More would delay the copies that other
// hosts place and the other traffic of the endpoint.
constexpr auto MaxOutstanding = std::chrono::milliseconds(100);
constexpr auto CleanupInterval = std::chrono::seconds(1);

const EndpointStatus *findStatus(const std::vector<EndpointRegistry::Status> &available,
                                 const PrefixCacheIndex::Holder &holder)
{
    const auto found = std::lower_bound(available.begin(), available.end(), holder.endpoint,
                                        [](const EndpointRegistry::Status &status, const auto &id) {
                                            return status->registration.id.value() < id.value();
                                        });
    if (found == available.end() || (*found)->registration.id != holder.endpoint
        || (*found)->registration.incarnation != holder.incarnation)
        return nullptr;
    return found->get();
}

} // namespace

CacheTransferSources CacheTransferPlanner::sources(
    const CacheTransferDemand &demand, const std::vector<PrefixCacheIndex::Holder> *holders,
    const std::vector<EndpointRegistry::Status> &available,
    const std::vector<units::EndpointId> &excluded, units::TimePoint now) const
{
    CacheTransferSources sources(demand);
    if (holders == nullptr || !sources.isCopyUseful())
        return sources;
    for (const PrefixCacheIndex::Holder &holder : *holders) {
        if (!PrefixCacheIndex::isReady(holder, now)
            || std::find(excluded.begin(), excluded.end(), holder.endpoint) != excluded.end())
            continue;
        const EndpointStatus *source = findStatus(available, holder);
        if (source == nullptr || source->leaving || !source->health.accepts(now))
            continue;
        const units::Duration wait = waitFor(holder.endpoint, now);
        if (wait <= MaxOutstanding)
            sources.add(source->registration, wait, holder.lastSent);
    }
    return sources;
}

void CacheTransferPlanner::onPlaced(const CacheTransferPlan &plan, units::TimePoint now)
{
    if (now >= nextCleanupAt_)
        removeIdle(now);
    units::TimePoint &busyUntil = linksBusyUntil_[plan.source.value()];
    busyUntil = std::max(busyUntil, now) + plan.linkTime;
}

units::Duration CacheTransferPlanner::waitFor(const units::EndpointId &source,
                                              units::TimePoint now) const
{
    const auto found = linksBusyUntil_.find(source.value());
    return found == linksBusyUntil_.end()
        ? units::Duration::zero()
        : std::max<units::Duration>(found->second - now, units::Duration::zero());
}

void CacheTransferPlanner::removeIdle(units::TimePoint now)
{
    nextCleanupAt_ = now + CleanupInterval;
    for (auto link = linksBusyUntil_.begin(); link != linksBusyUntil_.end();)
        link = link->second <= now ? linksBusyUntil_.erase(link) : std::next(link);
}

} // namespace monsoongrade::routing::prefixcache
