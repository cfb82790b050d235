#include <monsoongrade/routing/crashtracker.h>

#include <algorithm>

namespace monsoongrade::routing {

namespace {

// A record is forgotten after this time without a change, unless it is in quarantine.
constexpr auto SuspicionTime = std::chrono::minutes(10);
constexpr auto FirstQuarantine = std::chrono::minutes(10);
// Bounds the length of a quarantine: each further crash doubles it.
constexpr std::size_t MaxCrashesKept = 10;
constexpr std::size_t MaxRecords = 4096;
constexpr std::size_t MaxFresh = 4096;
// Later, a new process may answer under the same id before its entry in the store is known.
constexpr auto MaxTimeToProof = std::chrono::seconds(1);
constexpr int RoundsToTell = 6;
constexpr auto CleaningInterval = std::chrono::seconds(10);

} // namespace

void CrashTracker::onCrash(const RequestIdentity &request, const EndpointInstance &endpoint,
                           units::TimePoint now)
{
    const CrashUpdate news{CrashUpdate::Kind::Crashed, request, endpoint, {}};
    if (isCleared(news, now, now) || !addCrash(news, now, now))
        return;
    records_[request].wasSeenHere = true;
    tellLater(news, now);
}

void CrashTracker::onCompleted(const RequestIdentity &request, units::TimePoint now)
{
    completions_.add(request, now);
    if (complete(request, now))
        tellLater({CrashUpdate::Kind::Completed, request, {}, {}}, now);
}

void CrashTracker::onAnswered(const EndpointInstance &endpoint, units::TimePoint sentAt)
{
    if (acquit(endpoint, sentAt))
        tellLater({CrashUpdate::Kind::EndpointAnswered, {}, endpoint, {}}, sentAt);
}

void CrashTracker::receive(const CrashUpdate &news, units::TimePoint now)
{
    const units::TimePoint at = now - news.age;
    if (learn(news, at, now))
        tellLater(news, at);
}

// Whether the request was answered here shortly before; the other hosts are then told.
bool CrashTracker::isCleared(const CrashUpdate &crash, units::TimePoint at, units::TimePoint now)
{
    if (!completions_.contains(crash.request, now))
        return false;
    const auto found = records_.find(crash.request);
    const bool isTold
        = found != records_.end() && found->second.completedAt && *found->second.completedAt >= at;
    if (!isTold) {
        if (found == records_.end())
            makeRoom(now);
        Record &record = records_[crash.request];
        record.completedAt = at;
        record.changedAt = std::max(record.changedAt, at);
        record.crashes.clear();
        tellLater({CrashUpdate::Kind::Completed, crash.request, {}, {}}, at);
    }
    return true;
}

bool CrashTracker::learn(const CrashUpdate &news, units::TimePoint at, units::TimePoint now)
{
    switch (news.kind) {
    case CrashUpdate::Kind::Crashed:
        return !isCleared(news, at, now) && addCrash(news, at, now);
    case CrashUpdate::Kind::Completed:
        return complete(news.request, at);
    case CrashUpdate::Kind::EndpointAnswered:
        return acquit(news.endpoint, at);
    }
    return false;
}

bool CrashTracker::addCrash(const CrashUpdate &news, units::TimePoint at, units::TimePoint now)
{
    Suspect &suspect = suspects_[news.endpoint];
    if (suspect.answeredAt && at < *suspect.answeredAt)
        return false;
    suspect.brokeAt = std::max(suspect.brokeAt, at);
    if (records_.count(news.request) == 0)
        makeRoom(now);
    Record &record = records_[news.request];
    if (record.completedAt && at <= *record.completedAt)
        return false;
    const bool isKnown
        = std::any_of(record.crashes.begin(), record.crashes.end(),
                      [&](const Crash &crash) { return crash.endpoint == news.endpoint; });
    if (isKnown)
        return false;
    const auto place = std::upper_bound(
        record.crashes.begin(), record.crashes.end(), at,
        [](units::TimePoint time, const Crash &crash) { return time < crash.at; });
    if (record.crashes.size() == MaxCrashesKept) {
        if (place == record.crashes.begin())
            return false;
        const auto index = place - record.crashes.begin() - 1;
        record.crashes.erase(record.crashes.begin());
        record.crashes.insert(record.crashes.begin() + index, {news.endpoint, at});
    } else {
        record.crashes.insert(place, {news.endpoint, at});
    }
    record.changedAt = std::max(record.changedAt, at);
    return true;
}

bool CrashTracker::acquit(const EndpointInstance &endpoint, units::TimePoint sentAt)
{
    const auto found = suspects_.find(endpoint);
    if (found == suspects_.end() || sentAt <= found->second.brokeAt)
        return false;
    Suspect &suspect = found->second;
    if (sentAt - suspect.brokeAt > MaxTimeToProof)
        return false;
    if (suspect.answeredAt && *suspect.answeredAt > suspect.brokeAt)
        return false; // already cleared
    suspect.answeredAt = sentAt;
    for (auto &[request, record] : records_) {
        auto &crashes = record.crashes;
        crashes.erase(
            std::remove_if(crashes.begin(), crashes.end(),
                           [&](const Crash &crash) { return crash.endpoint == endpoint; }),
            crashes.end());
    }
    return true;
}

bool CrashTracker::complete(const RequestIdentity &request, units::TimePoint at)
{
    const auto found = records_.find(request);
    if (found == records_.end())
        return false;
    Record &record = found->second;
    if (record.completedAt && *record.completedAt >= at)
        return false;
    record.completedAt = at;
    record.changedAt = std::max(record.changedAt, at);
    const auto firstLater = std::find_if(record.crashes.begin(), record.crashes.end(),
                                         [at](const Crash &crash) { return crash.at > at; });
    const bool isCleared = firstLater != record.crashes.begin();
    record.crashes.erase(record.crashes.begin(), firstLater);
    return isCleared;
}

std::optional<units::TimePoint> CrashTracker::quarantineEnd(const Record &record)
{
    if (record.crashes.size() < CrashesToQuarantine)
        return std::nullopt;
    const auto doublings = record.crashes.size() - CrashesToQuarantine;
    return record.crashes.back().at + units::Duration(FirstQuarantine) * (1 << doublings);
}

bool CrashTracker::isQuarantined(const Record &record, units::TimePoint now)
{
    const auto end = quarantineEnd(record);
    return end && now < *end;
}

std::optional<units::Duration> CrashTracker::quarantineRemaining(const RequestIdentity &request,
                                                                 units::TimePoint now) const
{
    const auto found = records_.find(request);
    if (found == records_.end() || !isQuarantined(found->second, now))
        return std::nullopt;
    return *quarantineEnd(found->second) - now;
}

std::size_t CrashTracker::quarantinedCount(units::TimePoint now) const
{
    return std::size_t(std::count_if(records_.begin(), records_.end(), [now](const auto &record) {
        return isQuarantined(record.second, now);
    }));
}

std::vector<RequestIdentity> CrashTracker::locallyQuarantined(units::TimePoint now) const
{
    std::vector<RequestIdentity> requests;
    for (const auto &[request, record] : records_) {
        if (record.wasSeenHere && isQuarantined(record, now))
            requests.push_back(request);
    }
    return requests;
}

std::vector<CrashUpdate> CrashTracker::crashesOf(const RequestIdentity &request,
                                                 units::TimePoint now) const
{
    std::vector<CrashUpdate> news;
    const auto found = records_.find(request);
    if (found != records_.end())
        appendCrashes(*found, news, now);
    return news;
}

void CrashTracker::tellLater(const CrashUpdate &news, units::TimePoint at)
{
    if (fresh_.size() >= MaxFresh)
        fresh_.pop_front();
    fresh_.push_back({news, at, RoundsToTell});
}

std::vector<CrashUpdate> CrashTracker::takeUpdates(std::size_t maxItems, units::TimePoint now)
{
    forgetOld(now);
    std::vector<CrashUpdate> news;
    for (std::size_t left = std::min(maxItems, fresh_.size()); left > 0; --left) {
        Telling telling = std::move(fresh_.front());
        fresh_.pop_front();
        telling.news.age = now - telling.at;
        news.push_back(telling.news);
        if (--telling.roundsLeft > 0)
            fresh_.push_back(std::move(telling));
    }
    const auto inTurn = [&](Records::const_iterator first, Records::const_iterator last) {
        return std::find_if(first, last,
                            [now](const auto &each) { return isQuarantined(each.second, now); });
    };
    auto repeated = inTurn(records_.upper_bound(lastRepeated_), records_.end());
    if (repeated == records_.end())
        repeated = inTurn(records_.begin(), records_.end());
    if (repeated != records_.end() && news.size() + MaxCrashesKept <= maxItems) {
        lastRepeated_ = repeated->first;
        appendCrashes(*repeated, news, now);
    }
    return news;
}

std::vector<CrashUpdate> CrashTracker::quarantineNews(std::size_t maxItems,
                                                      units::TimePoint now) const
{
    std::vector<CrashUpdate> news;
    for (const auto &record : records_) {
        if (isQuarantined(record.second, now) && news.size() + MaxCrashesKept <= maxItems)
            appendCrashes(record, news, now);
    }
    return news;
}

void CrashTracker::appendCrashes(const Records::value_type &record, std::vector<CrashUpdate> &news,
                                 units::TimePoint now)
{
    for (const Crash &crash : record.second.crashes)
        news.push_back({CrashUpdate::Kind::Crashed, record.first, crash.endpoint, now - crash.at});
}

// Gives up the record that has not changed for the longest time, a quarantined one last.
void CrashTracker::makeRoom(units::TimePoint now)
{
    if (records_.size() < MaxRecords)
        return;
    const auto isLessNeeded = [now](const auto &a, const auto &b) {
        const bool isHeldA = isQuarantined(a.second, now);
        const bool isHeldB = isQuarantined(b.second, now);
        return isHeldA != isHeldB ? isHeldB : a.second.changedAt < b.second.changedAt;
    };
    records_.erase(std::min_element(records_.begin(), records_.end(), isLessNeeded));
}

void CrashTracker::forgetOld(units::TimePoint now)
{
    if (now < nextCleaning_)
        return;
    nextCleaning_ = now + CleaningInterval;
    for (auto entry = records_.begin(); entry != records_.end();) {
        // Once more the suspicion time after a quarantine: the first crash in it fails the trial.
        const units::TimePoint keptFrom
            = quarantineEnd(entry->second).value_or(entry->second.changedAt);
        entry = now - keptFrom >= SuspicionTime ? records_.erase(entry) : std::next(entry);
    }
    for (auto entry = suspects_.begin(); entry != suspects_.end();) {
        const bool isOver = now - entry->second.brokeAt >= SuspicionTime;
        entry = isOver ? suspects_.erase(entry) : std::next(entry);
    }
}

} // namespace monsoongrade::routing
