#include <monsoongrade/duties/usageledger.h>

#include <algorithm>

namespace monsoongrade::duties {

UsageLedger::UsageLedger(std::string self)
    : self_(std::move(self))
{
}

void UsageLedger::increment(WindowNumber window, const units::WorkspaceName &workspace)
{
    ++windows_[window][self_][workspace];
    changed_.emplace(window, workspace);
}

void UsageLedger::merge(const std::string &reporter, const UsageEntry &entry)
{
    if (reporter == self_)
        return;
    std::uint64_t &total = windows_[entry.window][reporter][entry.workspace];
    total = std::max(total, entry.total);
}

UsageCounts UsageLedger::totals(WindowNumber window) const
{
    UsageCounts counts;
    const auto found = windows_.find(window);
    if (found == windows_.end())
        return counts;
    for (const auto &[reporter, totals] : found->second) {
        for (const auto &[workspace, total] : totals)
            counts[workspace] += total;
    }
    return counts;
}

std::vector<UsageEntry> UsageLedger::takeChanged()
{
    std::vector<UsageEntry> entries;
    entries.reserve(changed_.size());
    for (const auto &[window, workspace] : changed_)
        entries.push_back({window, workspace, windows_[window][self_][workspace]});
    changed_.clear();
    return entries;
}

std::vector<UsageEntry> UsageLedger::own() const
{
    std::vector<UsageEntry> entries;
    for (const auto &[window, reporters] : windows_) {
        const auto found = reporters.find(self_);
        if (found == reporters.end())
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
