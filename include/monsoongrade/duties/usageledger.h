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

// How many requests of a workspace one host began in a window, by its own count so far.
struct UsageEntry
{
    WindowNumber window;
    units::WorkspaceName workspace;
    std::uint64_t total = 0;
};

// Counts of requests that began to run, this host's own and those told by others. Each count of
// each life of a host only grows, so it may be told any number of times, in any order and through
// any host: the largest number heard is the newest. What several hosts were told is lost only with
// all of them.
class UsageLedger
{
public:
    // self: this life of this host.
    explicit UsageLedger(std::string self);

    const std::string &sourceId() const { return self_; }
    // A request began to run.
    void increment(WindowNumber window, const units::WorkspaceName &workspace);
    // What a life of a host said of itself.
    void merge(const std::string &reporter, const UsageEntry &entry);

    // Of all hosts.
    UsageCounts totals(WindowNumber window) const;
    // Own counts that changed since the last call.
    std::vector<UsageEntry> takeChanged();
    // All own counts.
    std::vector<UsageEntry> own() const;

    void eraseBefore(WindowNumber window);

private:
    using ByWorkspace = std::map<units::WorkspaceName, std::uint64_t>;
    using ByReporter = std::map<std::string, ByWorkspace>;

    std::string self_;
    std::map<WindowNumber, ByReporter> windows_;
    std::set<std::pair<WindowNumber, units::WorkspaceName>> changed_;
};

} // namespace monsoongrade::duties

#endif // MONSOONGRADE_DUTIES_USAGELEDGER_H
