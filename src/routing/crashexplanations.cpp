#include <monsoongrade/routing/crashexplanations.h>

#include <algorithm>

namespace monsoongrade::routing {

namespace {

// Endpoints count rejections over a second. The hosts learn of the crash a little later.
constexpr auto RejectionSpan = std::chrono::milliseconds(1250);
// A response may be read later than the end of another connection.
constexpr auto MaxReadingDelay = std::chrono::milliseconds(250);
constexpr auto Retention = std::chrono::minutes(10);
constexpr std::size_t MaxEndpoints = 4096;

} // namespace

void CrashExplanations::onBrittle(const EndpointInstance &endpoint, units::TimePoint now)
{
    insert(brittle_, endpoint, now);
}

void CrashExplanations::onRejected(const EndpointInstance &endpoint, units::TimePoint now)
{
    insert(lastRejections_, endpoint, now);
}

void CrashExplanations::insert(std::map<EndpointInstance, units::TimePoint> &times,
                               const EndpointInstance &endpoint, units::TimePoint now)
{
    const auto found = times.find(endpoint);
    if (found != times.end())
        found->second = std::max(found->second, now);
    else if (times.size() < MaxEndpoints)
        times.emplace(endpoint, now);
}

bool CrashExplanations::isBrittle(const EndpointInstance &endpoint) const
{
    return brittle_.count(endpoint) != 0;
}

bool CrashExplanations::hasRejectedBefore(const EndpointInstance &endpoint,
                                          units::TimePoint crashAt) const
{
    const auto found = lastRejections_.find(endpoint);
    return found != lastRejections_.end() && crashAt - found->second < RejectionSpan
        && found->second - crashAt < MaxReadingDelay;
}

void CrashExplanations::removeOutdated(units::TimePoint now)
{
    for (auto *times : {&brittle_, &lastRejections_}) {
        for (auto entry = times->begin(); entry != times->end();)
            entry = now - entry->second >= Retention ? times->erase(entry) : std::next(entry);
    }
}

} // namespace monsoongrade::routing
