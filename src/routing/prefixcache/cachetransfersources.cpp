#include <monsoongrade/routing/prefixcache/cachetransfersources.h>

#include <algorithm>

namespace monsoongrade::routing::prefixcache {

namespace {

// Time to request the copy and to begin and end it.
constexpr auto FixedTime = std::chrono::milliseconds(2);
// Links between failure domains are shared and longer.
constexpr int TimesBetweenDomains = 2;
// A copy must take at most this part of the prefill that it replaces. Its source may have evicted
// the prefix or be gone, and then the time until this is known is lost.
constexpr int MaxPartOfPrefill = 4;
// Prefills are at most this much faster than measured: the time to a first event includes the steps
// of the engine that make it. Pools at the limit do not copy.
constexpr double MaxUnderestimateOfRate = 1.5;
// A copy must save at least this part of the target latency, or it makes no difference to the
// caller.
constexpr int MinPartOfTarget = 20;

// Clients name the number of tokens, so times are limited to what a duration can hold.
constexpr std::chrono::duration<double, std::milli> MaxTime = std::chrono::hours(1);

units::Duration timeFor(double amount, double perMs)
{
    if (perMs <= 0 || amount / perMs >= MaxTime.count())
        return std::chrono::duration_cast<units::Duration>(MaxTime);
    return std::chrono::duration_cast<units::Duration>(
        std::chrono::duration<double, std::milli>(amount / perMs));
}

units::Duration linkTimeOf(const CacheTransferDemand &demand)
{
    constexpr double BitsPerByte = 8;
    constexpr double BitsPerMegabit = 1e6;
    constexpr double MsPerSecond = 1e3;
    const double bits = double(demand.tokens) * double(demand.transfer.bytesPerToken) * BitsPerByte;
    return timeFor(bits, demand.transfer.megabitsPerSecond * BitsPerMegabit / MsPerSecond)
        + FixedTime;
}

} // namespace

CacheTransferSources::CacheTransferSources(const CacheTransferDemand &demand)
    : demand_(demand)
    , prefillTime_(timeFor(double(demand.tokens), demand.tokensPerMs))
    , linkTime_(linkTimeOf(demand))
{
}

bool CacheTransferSources::isCopyUseful() const
{
    return demand_.tokens > 0 && isUseful(linkTime_);
}

bool CacheTransferSources::isUseful(units::Duration duration) const
{
    return duration * MaxPartOfPrefill * MaxUnderestimateOfRate <= prefillTime_
        && (prefillTime_ - duration) * MinPartOfTarget >= demand_.target;
}

void CacheTransferSources::add(const DiscoveredEndpoint &endpoint, units::Duration wait,
                               units::TimePoint lastSent)
{
    improve(withinDomain_, true, endpoint, wait, lastSent);
    improve(betweenDomains_, false, endpoint, wait, lastSent);
}

void CacheTransferSources::improve(std::vector<Best> &best, bool isWithinDomain,
                                   const DiscoveredEndpoint &endpoint, units::Duration wait,
                                   units::TimePoint lastSent) const
{
    const units::Duration linkTime = linkTime_ * (isWithinDomain ? 1 : TimesBetweenDomains);
    const units::Duration duration = wait + linkTime;
    if (!isUseful(duration))
        return;
    auto found = std::find_if(best.begin(), best.end(), [&](const Best &each) {
        return each.softwareVersion == endpoint.softwareVersion
            && (!isWithinDomain || each.failureDomain == endpoint.failureDomain);
    });
    if (found == best.end())
        found = best.insert(found, {endpoint.softwareVersion, {}, {{}, {}, duration}, {}});
    else if (duration > found->plan.duration
             || (duration == found->plan.duration && lastSent <= found->lastSent))
        return;
    found->failureDomain = endpoint.failureDomain;
    found->plan = {endpoint.id, linkTime, duration};
    found->lastSent = lastSent;
}

const CacheTransferPlan *CacheTransferSources::planFor(const DiscoveredEndpoint &endpoint) const
{
    for (const Best &each : withinDomain_) {
        if (each.failureDomain == endpoint.failureDomain
            && each.softwareVersion == endpoint.softwareVersion)
            return each.plan.source == endpoint.id ? nullptr : &each.plan;
    }
    // A source for endpoints of other domains is useful within its own as well, where the search
    // above finds it or a better one.
    for (const Best &each : betweenDomains_) {
        if (each.softwareVersion == endpoint.softwareVersion)
            return &each.plan;
    }
    return nullptr;
}

} // namespace monsoongrade::routing::prefixcache
