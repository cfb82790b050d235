#include <monsoongrade/routing/crashtracker.h>

#include <algorithm>

namespace monsoongrade::routing {

namespace {

// A record is removed after this time without a change, unless its request is quarantined.
constexpr auto RecordRetention = std::chrono::minutes(10);
constexpr auto InitialQuarantine = std::chrono::minutes(10);
// A request that was completed crashes no endpoint for this time: many callers send the same one,
// and the loss of several endpoints must not quarantine it. Also holds where the host that saw the
// completion is gone.
constexpr auto ProtectionAfterCompletion = std::chrono::seconds(30);
constexpr std::size_t MaxRecords = 4096;
// After this time a new process may respond under the same id before its store entry is known.
constexpr auto MaxProofDelay = std::chrono::seconds(1);
// By how much the times differ at which hosts notice the same crash.
constexpr auto MaxNoticeDelay = std::chrono::milliseconds(250);
constexpr double BlameForBrittle = 0.5;
constexpr auto CleanupInterval = std::chrono::seconds(10);

} // namespace

void CrashTracker::onCrash(const RequestIdentity &request, const EndpointInstance &endpoint,
                           units::TimePoint now, int partPosition)
{
    const CrashUpdate update{CrashUpdate::Kind::Crashed, request, partPosition, endpoint, {}};
    if (clearIfRejected(endpoint, now) || clearIfCompleted(update, now, now)
        || !addCrash(update, now, now))
        return;
    records_[request].isLocallyObserved = true;
    enqueue(update, now);
}

void CrashTracker::onCompleted(const RequestIdentity &request, units::TimePoint now)
{
    completions_.add(request, now);
    if (clearRequest(request, now))
        enqueue({CrashUpdate::Kind::Completed, request, 0, {}, {}}, now);
}

void CrashTracker::onAnswered(const EndpointInstance &endpoint, units::TimePoint sentAt)
{
    if (clearEndpoint(endpoint, sentAt))
        enqueue({CrashUpdate::Kind::EndpointCleared, {}, 0, endpoint, {}}, sentAt);
}

void CrashTracker::onBrittle(const EndpointInstance &endpoint, units::TimePoint now)
{
    const bool wasKnown = explanations_.isBrittle(endpoint);
    explanations_.onBrittle(endpoint, now);
    if (wasKnown || suspects_.count(endpoint) == 0)
        return;
    for (auto &[request, record] : records_) {
        for (Crash &crash : record.crashes)
            crash.isOfBrittle = crash.isOfBrittle || crash.endpoint == endpoint;
    }
}

void CrashTracker::onRejected(const EndpointInstance &endpoint, units::TimePoint now)
{
    explanations_.onRejected(endpoint, now);
    const auto found = suspects_.find(endpoint);
    if (found != suspects_.end())
        clearIfRejected(endpoint, found->second.lastCrashAt);
}

void CrashTracker::receive(const CrashUpdate &update, units::TimePoint now)
{
    const units::TimePoint at = now - update.age;
    if (apply(update, at, now))
        enqueue(update, at);
}

// Whether rejections to this host explain the crash. If so, the other hosts are informed.
bool CrashTracker::clearIfRejected(const EndpointInstance &endpoint, units::TimePoint crashAt)
{
    if (!explanations_.hasRejectedBefore(endpoint, crashAt))
        return false;
    SuspectedEndpoint &suspect = suspects_[endpoint];
    if (suspect.clearedUntil && crashAt < *suspect.clearedUntil)
        return true;
    suspect.lastCrashAt = std::max(suspect.lastCrashAt, crashAt);
    suspect.clearedUntil = suspect.lastCrashAt + MaxNoticeDelay;
    eraseCrashesOf(endpoint);
    enqueue({CrashUpdate::Kind::EndpointCleared, {}, 0, endpoint, {}}, *suspect.clearedUntil);
    return true;
}

// Whether this host recently completed the request. If so, the other hosts are informed.
bool CrashTracker::clearIfCompleted(const CrashUpdate &crash, units::TimePoint at,
                                    units::TimePoint now)
{
    if (!completions_.contains(crash.request, now))
        return false;
    const auto found = records_.find(crash.request);
    const bool isRecorded
        = found != records_.end() && found->second.completedAt && *found->second.completedAt >= at;
    if (!isRecorded) {
        if (found == records_.end())
            evictIfFull(now);
        Record &record = records_[crash.request];
        record.completedAt = at;
        record.changedAt = std::max(record.changedAt, at);
        record.crashes.clear();
        enqueue({CrashUpdate::Kind::Completed, crash.request, 0, {}, {}}, at);
    }
    return true;
}

bool CrashTracker::apply(const CrashUpdate &update, units::TimePoint at, units::TimePoint now)
{
    switch (update.kind) {
    case CrashUpdate::Kind::Crashed:
        return !clearIfRejected(update.endpoint, at) && !clearIfCompleted(update, at, now)
            && addCrash(update, at, now);
    case CrashUpdate::Kind::Completed:
        if (records_.count(update.request) == 0)
            evictIfFull(now);
        records_.try_emplace(update.request);
        return clearRequest(update.request, at);
    case CrashUpdate::Kind::EndpointCleared:
        return clearEndpoint(update.endpoint, at);
    }
    return false;
}

bool CrashTracker::addCrash(const CrashUpdate &update, units::TimePoint at, units::TimePoint now)
{
    SuspectedEndpoint &suspect = suspects_[update.endpoint];
    if (suspect.clearedUntil && at < *suspect.clearedUntil)
        return false;
    suspect.lastCrashAt = std::max(suspect.lastCrashAt, at);
    if (records_.count(update.request) == 0)
        evictIfFull(now);
    Record &record = records_[update.request];
    record.partPosition = std::max(record.partPosition, update.partPosition);
    if (record.completedAt && at <= *record.completedAt + ProtectionAfterCompletion)
        return false;
    const bool isKnown
        = std::any_of(record.crashes.begin(), record.crashes.end(),
                      [&](const Crash &known) { return known.endpoint == update.endpoint; });
    if (isKnown)
        return false;
    const Crash crash{update.endpoint, at,
                      update.isOfBrittle || explanations_.isBrittle(update.endpoint)};
    const auto position = std::upper_bound(
        record.crashes.begin(), record.crashes.end(), at,
        [](units::TimePoint time, const Crash &known) { return time < known.at; });
    if (record.crashes.size() == MaxCrashesKept) {
        if (position == record.crashes.begin())
            return false;
        const auto index = position - record.crashes.begin() - 1;
        record.crashes.erase(record.crashes.begin());
        record.crashes.insert(record.crashes.begin() + index, crash);
    } else {
        record.crashes.insert(position, crash);
    }
    record.changedAt = std::max(record.changedAt, at);
    return true;
}

bool CrashTracker::clearEndpoint(const EndpointInstance &endpoint, units::TimePoint sentAt)
{
    const auto found = suspects_.find(endpoint);
    if (found == suspects_.end() || sentAt <= found->second.lastCrashAt)
        return false;
    SuspectedEndpoint &suspect = found->second;
    if (sentAt - suspect.lastCrashAt > MaxProofDelay)
        return false;
    if (suspect.clearedUntil && *suspect.clearedUntil > suspect.lastCrashAt)
        return false; // already cleared
    suspect.clearedUntil = sentAt;
    eraseCrashesOf(endpoint);
    return true;
}

void CrashTracker::eraseCrashesOf(const EndpointInstance &endpoint)
{
    for (auto &[request, record] : records_) {
        auto &crashes = record.crashes;
        crashes.erase(
            std::remove_if(crashes.begin(), crashes.end(),
                           [&](const Crash &crash) { return crash.endpoint == endpoint; }),
            crashes.end());
    }
}

bool CrashTracker::clearRequest(const RequestIdentity &request, units::TimePoint at)
{
    const auto found = records_.find(request);
    if (found == records_.end())
        return false;
    Record &record = found->second;
    if (record.completedAt && *record.completedAt >= at)
        return false;
    record.completedAt = at;
    record.changedAt = std::max(record.changedAt, at);
    const units::TimePoint protectedUntil = at + ProtectionAfterCompletion;
    const auto firstLater
        = std::find_if(record.crashes.begin(), record.crashes.end(),
                       [&](const Crash &crash) { return crash.at > protectedUntil; });
    const bool hasCleared = firstLater != record.crashes.begin();
    record.crashes.erase(record.crashes.begin(), firstLater);
    return hasCleared;
}

double CrashTracker::blameFor(const Crash &crash)
{
    return crash.isOfBrittle ? BlameForBrittle : 1;
}

double CrashTracker::blameOf(const Record &record)
{
    double blame = 0;
    for (const Crash &crash : record.crashes)
        blame += blameFor(crash);
    return blame;
}

std::optional<units::TimePoint> CrashTracker::quarantineEnd(const Record &record)
{
    const auto blame = std::size_t(blameOf(record));
    if (blame < CrashesToQuarantine)
        return std::nullopt;
    const auto doublings = blame - CrashesToQuarantine;
    return record.crashes.back().at + units::Duration(InitialQuarantine) * (1 << doublings);
}

bool CrashTracker::isQuarantined(const Record &record, units::TimePoint now) const
{
    const auto end = quarantineEnd(record);
    return end && now < *end && !isExplained(record);
}

// Whether parts further back in the prompts are to blame for the crashes. Parts that come together
// in all crashes cannot be told apart by them, and the first parts are those that most requests
// share.
bool CrashTracker::isExplained(const Record &part) const
{
    if (part.partPosition == 0)
        return false;
    double blame = 0;
    for (const Crash &crash : part.crashes)
        blame += isExplainedElsewhere(crash, part) ? 0 : blameFor(crash);
    return blame < CrashesToQuarantine;
}

bool CrashTracker::isQuarantineHidden(const Record &part) const
{
    return blameOf(part) >= CrashesToQuarantine && isExplained(part);
}

bool CrashTracker::isExplainedElsewhere(const Crash &crash, const Record &part) const
{
    return std::any_of(records_.begin(), records_.end(), [&](const auto &each) {
        const Record &other = each.second;
        return other.partPosition > part.partPosition && blameOf(other) >= CrashesToQuarantine
            && std::any_of(other.crashes.begin(), other.crashes.end(),
                           [&](const Crash &its) { return its.endpoint == crash.endpoint; });
    });
}

// A lift clears what has been counted, and protects the request from nothing.
void CrashTracker::lift(const RequestIdentity &request, units::TimePoint now)
{
    const auto found = records_.find(request);
    if (found == records_.end())
        return;
    std::vector<RequestIdentity> lifted{request};
    for (const auto &[other, record] : records_) {
        const bool isExplainedByIt = record.partPosition > 0
            && record.partPosition < found->second.partPosition && isQuarantineHidden(record);
        if (isExplainedByIt)
            lifted.push_back(other);
    }
    const units::TimePoint at = now - ProtectionAfterCompletion;
    for (const RequestIdentity &each : lifted) {
        if (clearRequest(each, at))
            enqueue({CrashUpdate::Kind::Completed, each, 0, {}, {}}, at);
    }
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
    return std::size_t(
        std::count_if(records_.begin(), records_.end(), [this, now](const auto &record) {
            return isQuarantined(record.second, now);
        }));
}

std::vector<RequestIdentity> CrashTracker::locallyQuarantined(units::TimePoint now) const
{
    std::vector<RequestIdentity> requests;
    for (const auto &[request, record] : records_) {
        if (record.isLocallyObserved && isQuarantined(record, now))
            requests.push_back(request);
    }
    return requests;
}

// Evicts the record that has been unchanged for the longest time, quarantined ones last.
void CrashTracker::evictIfFull(units::TimePoint now)
{
    if (records_.size() < MaxRecords)
        return;
    const auto isEvictedBefore = [this, now](const auto &a, const auto &b) {
        const bool isQuarantinedA = isQuarantined(a.second, now);
        const bool isQuarantinedB = isQuarantined(b.second, now);
        return isQuarantinedA != isQuarantinedB ? isQuarantinedB
                                                : a.second.changedAt < b.second.changedAt;
    };
    records_.erase(std::min_element(records_.begin(), records_.end(), isEvictedBefore));
}

void CrashTracker::removeOutdated(units::TimePoint now)
{
    if (now < nextCleanupAt_)
        return;
    nextCleanupAt_ = now + CleanupInterval;
    explanations_.removeOutdated(now);
    for (auto entry = records_.begin(); entry != records_.end();) {
        // After a quarantine the record is kept once more, so that a single further crash in this
        // time quarantines the request again.
        const units::TimePoint retainedFrom
            = quarantineEnd(entry->second).value_or(entry->second.changedAt);
        entry = now - retainedFrom >= RecordRetention ? records_.erase(entry) : std::next(entry);
    }
    for (auto entry = suspects_.begin(); entry != suspects_.end();) {
        const bool isExpired = now - entry->second.lastCrashAt >= RecordRetention;
        entry = isExpired ? suspects_.erase(entry) : std::next(entry);
    }
}

} // namespace monsoongrade::routing
