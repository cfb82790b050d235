#ifndef MONSOONGRADE_DUTIES_USAGELEDGER_H
#define MONSOONGRADE_DUTIES_USAGELEDGER_H

#include <monsoongrade/duties/usagewindow.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace monsoongrade::duties {

// Number of requests of a workspace that one host has started in a window so far.
struct UsageEntry
{
    WindowNumber window;
    units::WorkspaceName workspace;
    std::uint64_t total = 0;
};

// Counts of started requests, from this host and from others: a grow-only counter for each source,
// which is one process run on one host. As a source's counts never decrease, entries may be sent
// repeatedly, in any order and through any host; the largest value is the newest. Counts that
// several hosts have received are lost only if all of these fail.
class UsageLedger
{
public:
    // sourceId: identifies this process run.
    explicit UsageLedger(std::string sourceId);

    const std::string &sourceId() const { return sourceId_; }
    // Records the start of a request.
    void increment(WindowNumber window, const units::WorkspaceName &workspace);
    // Merges an entry that another source reported about itself.
    void merge(const std::string &source, const UsageEntry &entry);

    // Totals over all sources.
    UsageCounts totals(WindowNumber window) const;
    // This source's counts that changed since the last call.
    std::vector<UsageEntry> takeChangedEntries();
    // All counts of this source.
    std::vector<UsageEntry> localCounts() const;

    void eraseBefore(WindowNumber window);

private:
    using ByWorkspace = std::map<units::WorkspaceName, std::uint64_t>;
    using BySource = std::map<std::string, ByWorkspace>;

    std::string sourceId_;
    std::map<WindowNumber, BySource> windows_;
    std::set<std::pair<WindowNumber, units::WorkspaceName>> changed_;
};

} // namespace monsoongrade::duties

#endif // MONSOONGRADE_DUTIES_USAGELEDGER_H
