#include <monsoongrade/routing/endpointannouncements.h>

#include <algorithm>

namespace monsoongrade::routing {

namespace {

constexpr int RoundsPerUpdate = 6;
constexpr auto ResendInterval = std::chrono::seconds(2);
// A lifted limit is kept while older updates may still arrive.
constexpr auto LiftedLimitRetention = std::chrono::seconds(10);
// Without a response for this long, the endpoint is gone or no host sends to it.
constexpr auto MaxAge = std::chrono::minutes(10);
constexpr std::size_t MaxLimits = 4096;
// Longer than an endpoint takes to stop, also during an outage of the store, which it waits for.
constexpr auto LeavingRetention = std::chrono::hours(1);
constexpr std::size_t MaxLeaving = 4096;
// A longer pause is taken for a fault of the endpoint, which must not be lost for good.
constexpr auto MaxPause = std::chrono::hours(1);

} // namespace

bool EndpointAnnouncements::setLimit(const EndpointInstance &endpoint,
                                     std::optional<RequestsPerSecond> limit, units::TimePoint at)
{
    const auto found = limits_.find(endpoint);
    if (found == limits_.end()) {
        if (!limit || limits_.size() >= MaxLimits)
            return false;
        limits_[endpoint] = {limit, at, RoundsPerUpdate, {}};
        return true;
    }
    Limit &entry = found->second;
    if (at <= entry.announcedAt)
        return false;
    entry.announcedAt = at;
    if (entry.limit != limit) {
        entry.limit = limit;
        entry.roundsLeft = RoundsPerUpdate;
    }
    return true;
}

std::size_t EndpointAnnouncements::limited() const
{
    return std::size_t(std::count_if(limits_.begin(), limits_.end(), [](const auto &entry) {
        return entry.second.limit.has_value();
    }));
}

std::vector<RateLimitUpdate> EndpointAnnouncements::takeLimitUpdates(std::size_t maxItems,
                                                                     units::TimePoint now)
{
    std::vector<RateLimitUpdate> updates;
    for (auto entry = limits_.begin(); entry != limits_.end();) {
        Limit &known = entry->second;
        const units::Duration age = now - known.announcedAt;
        const bool isLiftExpired
            = known.roundsLeft == 0 && !known.limit && age >= LiftedLimitRetention;
        if (isLiftExpired || age >= MaxAge) {
            entry = limits_.erase(entry);
            continue;
        }
        const bool isResendDue = known.limit && now - known.lastSentAt >= ResendInterval;
        if ((known.roundsLeft > 0 || isResendDue) && updates.size() < maxItems) {
            known.roundsLeft -= known.roundsLeft > 0 ? 1 : 0;
            known.lastSentAt = now;
            updates.push_back({entry->first, known.limit, age});
        }
        ++entry;
    }
    return updates;
}

bool EndpointAnnouncements::setLeaving(const EndpointInstance &endpoint, units::TimePoint at)
{
    const auto isEarlier = [](const auto &a, const auto &b) {
        return a.second.announcedAt < b.second.announcedAt;
    };
    const auto [entry, isNew] = leaving_.try_emplace(endpoint);
    entry->second.announcedAt = std::max(entry->second.announcedAt, at);
    if (!isNew)
        return false;
    entry->second.roundsLeft = RoundsPerUpdate;
    if (leaving_.size() > MaxLeaving)
        leaving_.erase(std::min_element(leaving_.begin(), leaving_.end(), isEarlier));
    return true;
}

std::vector<LeavingUpdate> EndpointAnnouncements::takeLeavingUpdates(std::size_t maxItems,
                                                                     units::TimePoint now)
{
    std::vector<LeavingUpdate> updates;
    for (auto entry = leaving_.begin(); entry != leaving_.end();) {
        Leaving &known = entry->second;
        const units::Duration age = now - known.announcedAt;
        if (age >= LeavingRetention) {
            entry = leaving_.erase(entry);
            continue;
        }
        if (known.roundsLeft > 0 && updates.size() < maxItems) {
            --known.roundsLeft;
            updates.push_back({entry->first, age});
        }
        ++entry;
    }
    return updates;
}

std::vector<LeavingUpdate> EndpointAnnouncements::latestLeaving(std::size_t maxItems,
                                                                units::TimePoint now) const
{
    std::vector<LeavingUpdate> updates;
    updates.reserve(leaving_.size());
    for (const auto &[endpoint, known] : leaving_)
        updates.push_back({endpoint, now - known.announcedAt});
    const std::size_t count = std::min(maxItems, updates.size());
    std::partial_sort(updates.begin(), updates.begin() + std::ptrdiff_t(count), updates.end(),
                      [](const auto &a, const auto &b) { return a.age < b.age; });
    updates.resize(count);
    return updates;
}

void EndpointAnnouncements::addPause(const EndpointInstance &endpoint,
                                     std::chrono::duration<double> pause, units::TimePoint now)
{
    for (auto entry = pausedUntil_.begin(); entry != pausedUntil_.end();)
        entry = now >= entry->second ? pausedUntil_.erase(entry) : std::next(entry);
    const auto bounded = std::min<std::chrono::duration<double>>(pause, MaxPause);
    const units::TimePoint until = now + std::chrono::duration_cast<units::Duration>(bounded);
    units::TimePoint &known = pausedUntil_[endpoint];
    known = std::max(known, until);
}

units::Duration EndpointAnnouncements::pauseRemaining(const EndpointInstance &endpoint,
                                                      units::TimePoint now) const
{
    const auto found = pausedUntil_.find(endpoint);
    return found == pausedUntil_.end()
        ? units::Duration::zero()
        : std::max<units::Duration>(found->second - now, units::Duration::zero());
}

std::vector<EndpointInstance> EndpointAnnouncements::paused(units::TimePoint now) const
{
    std::vector<EndpointInstance> found;
    for (const auto &[endpoint, until] : pausedUntil_) {
        if (now < until)
            found.push_back(endpoint);
    }
    return found;
}

} // namespace monsoongrade::routing
