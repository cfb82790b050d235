#include <monsoongrade/duties/usageledger.h>

#include <algorithm>

namespace monsoongrade::duties {

UsageLedger::UsageLedger(std::string sourceId)
    : sourceId_(std::move(sourceId))
{
}

void UsageLedger::increment(WindowNumber window, const units::WorkspaceName &workspace)
{
    ++windows_[window][sourceId_][workspace];
    changed_.emplace(window, workspace);
}

void UsageLedger::merge(const std::string &source, const UsageEntry &entry)
{
    if (source == sourceId_)
        return;
    std::uint64_t &total = windows_[entry.window][source][entry.workspace];
    total = std::max(total, entry.total);
}

UsageCounts UsageLedger::totals(WindowNumber window) const
{
    UsageCounts counts;
    const auto found = windows_.find(window);
    if (found == windows_.end())
        return counts;
    for (const auto &[source, totals] : found->second) {
        for (const auto &[workspace, total] : totals)
            counts[workspace] += total;
    }
    return counts;
}

std::vector<UsageEntry> UsageLedger::takeChangedEntries()
{
    std::vector<UsageEntry> entries;
    entries.reserve(changed_.size());
    for (const auto &[window, workspace] : changed_)
        entries.push_back({window, workspace, windows_[window][sourceId_][workspace]});
    changed_.clear();
    return entries;
}

std::vector<UsageEntry> UsageLedger::localCounts() const
{
    std::vector<UsageEntry> entries;
    for (const auto &[window, sources] : windows_) {
        const auto found = sources.find(sourceId_);
        if (found == sources.end())
            continue;
        for (const auto &[workspace, total] : found->second)
            entries.push_back({window, workspace, total});
    }
    return entries;
}

void UsageLedger::eraseBefore(WindowNumber window)
{
    windows_.erase(windows_.begin(), windows_.lower_bound(window));
    changed_.erase(changed_.begin(),
                   std::find_if(changed_.begin(), changed_.end(),
                                [&](const auto &each) { return each.first >= window; }));
}

} // namespace monsoongrade::duties
