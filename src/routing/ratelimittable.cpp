#include <monsoongrade/routing/ratelimittable.h>

#include <algorithm>

namespace monsoongrade::routing {

namespace {

constexpr int RoundsToTell = 6;
constexpr auto TellAgainInterval = std::chrono::seconds(2);
// A limit that is over is kept while news of the time before may still arrive.
constexpr auto LiftedKept = std::chrono::seconds(10);
// Without an answer for so long the endpoint is gone, or nobody sends there.
constexpr auto MaxAge = std::chrono::minutes(10);
constexpr std::size_t MaxEntries = 4096;

} // namespace

bool RateLimitTable::update(const EndpointInstance &endpoint,
                            std::optional<RequestsPerSecond> limit, units::TimePoint at)
{
    const auto found = entries_.find(endpoint);
    if (found == entries_.end()) {
        if (!limit || entries_.size() >= MaxEntries)
            return false;
        entries_[endpoint] = {limit, at, RoundsToTell, {}};
        return true;
    }
    Entry &entry = found->second;
    if (at <= entry.heardAt)
        return false;
    entry.heardAt = at;
    if (entry.limit != limit) {
        entry.limit = limit;
        entry.roundsLeft = RoundsToTell;
    }
    return true;
}

std::size_t RateLimitTable::limited() const
{
    return std::size_t(std::count_if(entries_.begin(), entries_.end(), [](const auto &entry) {
        return entry.second.limit.has_value();
    }));
}

std::vector<RateLimitUpdate> RateLimitTable::takeUpdates(std::size_t maxItems, units::TimePoint now)
{
    std::vector<RateLimitUpdate> news;
    for (auto entry = entries_.begin(); entry != entries_.end();) {
        Entry &known = entry->second;
        const units::Duration age = now - known.heardAt;
        const bool isOver = known.roundsLeft == 0 && !known.limit && age >= LiftedKept;
        if (isOver || age >= MaxAge) {
            entry = entries_.erase(entry);
            continue;
        }
        const bool isDueAgain = known.limit && now - known.toldAt >= TellAgainInterval;
        if ((known.roundsLeft > 0 || isDueAgain) && news.size() < maxItems) {
            known.roundsLeft -= known.roundsLeft > 0 ? 1 : 0;
            known.toldAt = now;
            news.push_back({entry->first, known.limit, age});
        }
        ++entry;
    }
    return news;
}

} // namespace monsoongrade::routing
