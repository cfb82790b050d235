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
constexpr std::size_t MaxEntries = 4096;

} // namespace

bool EndpointAnnouncements::setLimit(const EndpointInstance &endpoint,
                                     std::optional<RequestsPerSecond> limit, units::TimePoint at)
{
    const auto found = entries_.find(endpoint);
    if (found == entries_.end()) {
        if (!limit || entries_.size() >= MaxEntries)
            return false;
        entries_[endpoint] = {limit, at, RoundsPerUpdate, {}};
        return true;
    }
    Entry &entry = found->second;
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
    return std::size_t(std::count_if(entries_.begin(), entries_.end(), [](const auto &entry) {
        return entry.second.limit.has_value();
    }));
}

std::vector<RateLimitUpdate> EndpointAnnouncements::takeLimitUpdates(std::size_t maxItems,
                                                                     units::TimePoint now)
{
    std::vector<RateLimitUpdate> updates;
    for (auto entry = entries_.begin(); entry != entries_.end();) {
        Entry &known = entry->second;
        const units::Duration age = now - known.announcedAt;
        const bool isLiftExpired
            = known.roundsLeft == 0 && !known.limit && age >= LiftedLimitRetention;
        if (isLiftExpired || age >= MaxAge) {
            entry = entries_.erase(entry);
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

} // namespace monsoongrade::routing
