#include <monsoongrade/routing/endpointannouncements.h>

#include <algorithm>
#include <cstdint>
#include <limits>

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
// By how much the clocks of endpoints may differ from the hosts'. A leaving endpoint goes on for
// seconds after its first announcement, so its next start is later by more than that.
constexpr auto ClockTolerance = std::chrono::milliseconds(500);
// How long an endpoint is not used whose listed start does not look later than its announcement.
// One that is really leaving has said so in the store, or is gone from it, by then.
constexpr auto MaxDoubt = std::chrono::minutes(1);
// A longer pause is taken for a fault of the endpoint, which must not be lost for good.
constexpr auto MaxPause = std::chrono::hours(1);

// The records of all starts of an endpoint.
template <typename Map>
auto recordsOf(Map &records, const units::EndpointId &id)
{
    auto begin = records.lower_bound({id, Incarnation(std::numeric_limits<std::int64_t>::min())});
    auto end = begin;
    while (end != records.end() && end->first.id == id)
        ++end;
    return std::make_pair(begin, end);
}

// The records that are due to be sent, those sent least recently first. In the order of their ids,
// the last of many would wait until all others have been sent often enough.
template <typename Map, typename IsDue>
std::vector<typename Map::iterator> recordsToSend(Map &records, std::size_t maxItems,
                                                  const IsDue &isDue)
{
    std::vector<typename Map::iterator> due;
    for (auto entry = records.begin(); entry != records.end(); ++entry) {
        if (isDue(entry->second))
            due.push_back(entry);
    }
    const std::size_t count = std::min(maxItems, due.size());
    std::partial_sort(
        due.begin(), due.begin() + std::ptrdiff_t(count), due.end(),
        [](const auto &a, const auto &b) { return a->second.lastSentAt < b->second.lastSentAt; });
    due.resize(count);
    return due;
}

} // namespace

EndpointAnnouncements::EndpointAnnouncements(const units::WallClock &wallClock)
    : wallClock_(wallClock)
{
}

bool EndpointAnnouncements::isLaterStart(Incarnation start, units::TimePoint announcedAt) const
{
    const auto latestOfAnnouncer = std::chrono::duration_cast<std::chrono::milliseconds>(
        wallClock_.at(announcedAt + ClockTolerance).time_since_epoch());
    return start.value() > latestOfAnnouncer.count();
}

bool EndpointAnnouncements::setLimits(const EndpointInstance &endpoint,
                                      const AnnouncedLimits &limits, units::TimePoint at)
{
    const bool replacesOther = eraseOtherLimits(endpoint, at);
    const auto found = limits_.find(endpoint);
    if (found == limits_.end()) {
        if ((!limits.hasAny() && !replacesOther) || limits_.size() >= MaxLimits)
            return false;
        limits_[endpoint] = {limits, at, RoundsPerUpdate, {}};
        return true;
    }
    Limit &entry = found->second;
    if (at <= entry.announcedAt)
        return false;
    entry.announcedAt = at;
    if (entry.limits != limits) {
        entry.limits = limits;
        entry.roundsLeft = RoundsPerUpdate;
    }
    return true;
}

// Erases what earlier responses announced for other starts of the endpoint: the latest response
// speaks for the process that runs now. Returns whether there was any.
bool EndpointAnnouncements::eraseOtherLimits(const EndpointInstance &endpoint, units::TimePoint at)
{
    bool hasErased = false;
    const auto [begin, end] = recordsOf(limits_, endpoint.id);
    for (auto entry = begin; entry != end;) {
        const bool isReplaced = !(entry->first == endpoint) && entry->second.announcedAt < at;
        hasErased = hasErased || isReplaced;
        entry = isReplaced ? limits_.erase(entry) : std::next(entry);
    }
    return hasErased;
}

// The latest record that concerns the process which the store lists; null if there is none.
const std::pair<const EndpointInstance, EndpointAnnouncements::Limit> *
EndpointAnnouncements::latestLimitFor(const EndpointInstance &listed) const
{
    const std::pair<const EndpointInstance, Limit> *latest = nullptr;
    const auto [begin, end] = recordsOf(limits_, listed.id);
    for (auto entry = begin; entry != end; ++entry) {
        const Limit &known = entry->second;
        const bool concerns
            = entry->first == listed || !isLaterStart(listed.incarnation, known.announcedAt);
        if (concerns && (latest == nullptr || known.announcedAt > latest->second.announcedAt))
            latest = &*entry;
    }
    return latest;
}

const AnnouncedLimits *EndpointAnnouncements::limitsOf(const EndpointInstance &listed) const
{
    const auto *latest = latestLimitFor(listed);
    return latest == nullptr ? nullptr : &latest->second.limits;
}

std::optional<RateLimitUpdate> EndpointAnnouncements::limitUpdateOf(const EndpointInstance &listed,
                                                                    units::TimePoint now) const
{
    const auto *latest = latestLimitFor(listed);
    if (latest == nullptr)
        return std::nullopt;
    return RateLimitUpdate{latest->first, latest->second.limits, now - latest->second.announcedAt};
}

std::size_t EndpointAnnouncements::limited() const
{
    return count(&AnnouncedLimits::requests);
}

std::size_t EndpointAnnouncements::brittle() const
{
    return count(&AnnouncedLimits::rejections);
}

std::size_t
EndpointAnnouncements::count(std::optional<RequestsPerSecond> AnnouncedLimits::*limit) const
{
    return std::size_t(std::count_if(limits_.begin(), limits_.end(), [limit](const auto &entry) {
        return (entry.second.limits.*limit).has_value();
    }));
}

std::vector<RateLimitUpdate> EndpointAnnouncements::takeLimitUpdates(std::size_t maxItems,
                                                                     units::TimePoint now)
{
    for (auto entry = limits_.begin(); entry != limits_.end();) {
        const Limit &known = entry->second;
        const units::Duration age = now - known.announcedAt;
        const bool isLiftExpired
            = known.roundsLeft == 0 && !known.limits.hasAny() && age >= LiftedLimitRetention;
        entry = isLiftExpired || age >= MaxAge ? limits_.erase(entry) : std::next(entry);
    }
    const auto isDue = [now](const Limit &known) {
        return known.roundsLeft > 0
            || (known.limits.hasAny() && now - known.lastSentAt >= ResendInterval);
    };
    std::vector<RateLimitUpdate> updates;
    for (const auto &entry : recordsToSend(limits_, maxItems, isDue)) {
        Limit &known = entry->second;
        known.roundsLeft -= known.roundsLeft > 0 ? 1 : 0;
        known.lastSentAt = now;
        updates.push_back({entry->first, known.limits, now - known.announcedAt});
    }
    return updates;
}

std::vector<RateLimitUpdate> EndpointAnnouncements::limitsInForce(units::TimePoint now) const
{
    std::vector<RateLimitUpdate> updates;
    for (const auto &[endpoint, known] : limits_) {
        if (known.limits.hasAny())
            updates.push_back({endpoint, known.limits, now - known.announcedAt});
    }
    return updates;
}

bool EndpointAnnouncements::setLeaving(const EndpointInstance &endpoint, units::TimePoint at)
{
    const auto isEarlier = [](const auto &a, const auto &b) {
        return a.second.lastAnnouncedAt < b.second.lastAnnouncedAt;
    };
    const auto [entry, isNew] = leaving_.try_emplace(endpoint);
    Leaving &known = entry->second;
    known.firstAnnouncedAt = isNew ? at : std::min(known.firstAnnouncedAt, at);
    known.lastAnnouncedAt = isNew ? at : std::max(known.lastAnnouncedAt, at);
    if (!isNew)
        return false;
    known.roundsLeft = RoundsPerUpdate;
    if (leaving_.size() > MaxLeaving)
        leaving_.erase(std::min_element(leaving_.begin(), leaving_.end(), isEarlier));
    return true;
}

std::optional<EndpointAnnouncements::OtherStart>
EndpointAnnouncements::onListed(const EndpointInstance &listed, units::TimePoint now)
{
    std::optional<OtherStart> reported;
    const auto [begin, end] = recordsOf(leaving_, listed.id);
    for (auto entry = begin; entry != end; ++entry) {
        Leaving &known = entry->second;
        if (entry->first == listed)
            continue;
        const bool isLater = isLaterStart(listed.incarnation, known.firstAnnouncedAt);
        if (!isLater && !known.inDoubtSince)
            known.inDoubtSince = now;
        if (known.lastOtherStart == listed.incarnation)
            continue;
        known.lastOtherStart = listed.incarnation;
        reported = {entry->first.incarnation, isLater, now - known.firstAnnouncedAt};
    }
    return reported;
}

bool EndpointAnnouncements::isLeaving(const EndpointInstance &listed, units::TimePoint now) const
{
    const auto [begin, end] = recordsOf(leaving_, listed.id);
    return std::any_of(begin, end, [&](const auto &entry) {
        const Leaving &known = entry.second;
        const bool isInDoubt = !known.inDoubtSince || now - *known.inDoubtSince < MaxDoubt;
        return entry.first == listed
            || (isInDoubt && !isLaterStart(listed.incarnation, known.firstAnnouncedAt));
    });
}

std::vector<LeavingUpdate> EndpointAnnouncements::takeLeavingUpdates(std::size_t maxItems,
                                                                     units::TimePoint now)
{
    for (auto entry = leaving_.begin(); entry != leaving_.end();) {
        const bool isExpired = now - entry->second.lastAnnouncedAt >= LeavingRetention;
        entry = isExpired ? leaving_.erase(entry) : std::next(entry);
    }
    std::vector<LeavingUpdate> updates;
    for (const auto &entry : recordsToSend(
             leaving_, maxItems, [](const Leaving &known) { return known.roundsLeft > 0; })) {
        Leaving &known = entry->second;
        --known.roundsLeft;
        known.lastSentAt = now;
        updates.push_back({entry->first, now - known.firstAnnouncedAt});
    }
    return updates;
}

std::vector<LeavingUpdate> EndpointAnnouncements::latestLeaving(std::size_t maxItems,
                                                                units::TimePoint now) const
{
    std::vector<LeavingUpdate> updates;
    updates.reserve(leaving_.size());
    for (const auto &[endpoint, known] : leaving_)
        updates.push_back({endpoint, now - known.firstAnnouncedAt});
    const std::size_t count = std::min(maxItems, updates.size());
    std::partial_sort(updates.begin(), updates.begin() + std::ptrdiff_t(count), updates.end(),
                      [](const auto &a, const auto &b) { return a.age < b.age; });
    updates.resize(count);
    return updates;
}

void EndpointAnnouncements::addPause(const EndpointInstance &endpoint,
                                     std::chrono::duration<double> pause, units::TimePoint now)
{
    for (auto entry = pauses_.begin(); entry != pauses_.end();)
        entry = now >= entry->second.until ? pauses_.erase(entry) : std::next(entry);
    const auto bounded = std::min<std::chrono::duration<double>>(pause, MaxPause);
    const units::TimePoint until = now + std::chrono::duration_cast<units::Duration>(bounded);
    Pause &known = pauses_[endpoint];
    known.askedAt = now;
    known.until = std::max(known.until, until);
}

units::Duration EndpointAnnouncements::pauseRemaining(const EndpointInstance &listed,
                                                      units::TimePoint now) const
{
    units::Duration remaining = units::Duration::zero();
    const auto [begin, end] = recordsOf(pauses_, listed.id);
    for (auto entry = begin; entry != end; ++entry) {
        const Pause &pause = entry->second;
        if (entry->first == listed || !isLaterStart(listed.incarnation, pause.askedAt))
            remaining = std::max<units::Duration>(remaining, pause.until - now);
    }
    return remaining;
}

std::vector<EndpointInstance> EndpointAnnouncements::paused(units::TimePoint now) const
{
    std::vector<EndpointInstance> found;
    for (const auto &[endpoint, pause] : pauses_) {
        if (now < pause.until)
            found.push_back(endpoint);
    }
    return found;
}

} // namespace monsoongrade::routing
