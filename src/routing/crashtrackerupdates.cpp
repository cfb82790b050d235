#include <monsoongrade/routing/crashtracker.h>

#include <algorithm>

namespace monsoongrade::routing {

namespace {

constexpr std::size_t MaxPending = 4096;
constexpr int RoundsPerUpdate = 6;

} // namespace

std::vector<CrashUpdate> CrashTracker::crashesOf(const RequestIdentity &request,
                                                 units::TimePoint now) const
{
    std::vector<CrashUpdate> updates;
    const auto found = records_.find(request);
    if (found != records_.end())
        appendCrashes(*found, updates, now);
    return updates;
}

// New updates are sent before those that have been sent already: after a crash there are more than
// fit in one datagram.
void CrashTracker::enqueue(const CrashUpdate &update, units::TimePoint at)
{
    if (pending_.size() >= MaxPending)
        pending_.pop_back();
    pending_.push_front({update, at, RoundsPerUpdate});
}

std::vector<CrashUpdate> CrashTracker::takeUpdates(std::size_t maxItems, units::TimePoint now)
{
    removeOutdated(now);
    std::vector<CrashUpdate> updates;
    for (std::size_t left = std::min(maxItems, pending_.size()); left > 0; --left) {
        PendingUpdate next = std::move(pending_.front());
        pending_.pop_front();
        next.update.age = std::max<units::Duration>(now - next.at, units::Duration::zero());
        updates.push_back(next.update);
        if (--next.roundsLeft > 0)
            pending_.push_back(std::move(next));
    }
    const auto findQuarantined = [&](Records::const_iterator first, Records::const_iterator last) {
        return std::find_if(
            first, last, [this, now](const auto &each) { return isQuarantined(each.second, now); });
    };
    auto resent = findQuarantined(records_.upper_bound(lastResent_), records_.end());
    if (resent == records_.end())
        resent = findQuarantined(records_.begin(), records_.end());
    if (resent != records_.end() && updates.size() + MaxCrashesKept <= maxItems) {
        lastResent_ = resent->first;
        appendCrashes(*resent, updates, now);
    }
    return updates;
}

std::vector<CrashUpdate> CrashTracker::quarantineUpdates(std::size_t maxItems,
                                                         units::TimePoint now) const
{
    std::vector<CrashUpdate> updates;
    for (const auto &record : records_) {
        if (isQuarantined(record.second, now) && updates.size() + MaxCrashesKept <= maxItems)
            appendCrashes(record, updates, now);
    }
    return updates;
}

void CrashTracker::appendCrashes(const Records::value_type &record,
                                 std::vector<CrashUpdate> &updates, units::TimePoint now)
{
    for (const Crash &crash : record.second.crashes)
        updates.push_back({CrashUpdate::Kind::Crashed, record.first, record.second.partPosition,
                           crash.endpoint, now - crash.at, crash.isOfBrittle});
}

} // namespace monsoongrade::routing
