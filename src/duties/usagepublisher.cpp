#include <monsoongrade/duties/usagepublisher.h>

#include <algorithm>

namespace monsoongrade::duties {

namespace {

constexpr auto MinInterval = std::chrono::milliseconds(250);
constexpr auto IntervalPerHost = std::chrono::milliseconds(2);
constexpr auto FullUpdateInterval = std::chrono::seconds(1);

} // namespace

UsagePublisher::UsagePublisher(std::string ownIp)
    : ownIp_(std::move(ownIp))
{
}

units::Duration UsagePublisher::interval(std::size_t hosts)
{
    return std::max<units::Duration>(MinInterval, IntervalPerHost * std::int64_t(hosts));
}

std::vector<UsageUpdate> UsagePublisher::nextUpdates(const std::vector<std::string> &collectors,
                                                     UsageLedger &ledger, units::TimePoint now)
{
    if (now >= lastFullUpdateAt_ + FullUpdateInterval) {
        lastFullUpdateAt_ = now;
        upToDateCollectors_.clear();
    }
    const std::vector<UsageEntry> changed = ledger.takeChangedEntries();
    std::vector<UsageUpdate> updates;
    std::set<std::string> upToDate;
    for (const std::string &collector : collectors) {
        upToDate.insert(collector);
        if (collector == ownIp_)
            continue;
        std::vector<UsageEntry> entries
            = upToDateCollectors_.count(collector) != 0 ? changed : ledger.localCounts();
        if (!entries.empty())
            updates.push_back({collector, std::move(entries)});
    }
    upToDateCollectors_ = std::move(upToDate);
    return updates;
}

} // namespace monsoongrade::duties
