#ifndef MONSOONGRADE_DUTIES_USAGEPUBLISHER_H
#define MONSOONGRADE_DUTIES_USAGEPUBLISHER_H

#include <monsoongrade/duties/usageledger.h>
#include <monsoongrade/units/clock.h>

#include <cstddef>
#include <set>
#include <string>
#include <vector>

namespace monsoongrade::duties {

// Usage counts of this host to send to one collector.
struct UsageUpdate
{
    std::string collector; // IP of the collector
    std::vector<UsageEntry> entries;
};

// Decides which usage counts a host sends to which collector. A host may fail at any moment, and
// counts that it has not sent are lost with it, so changes are sent several times a second. All
// counts are sent periodically and to each new collector, to make up for lost messages.
class UsagePublisher
{
public:
    explicit UsagePublisher(std::string ownIp);

    // The interval between updates. Grows with the fleet, as each collector hears from all hosts.
    static units::Duration interval(std::size_t hosts);
    // Returns the updates to send now.
    std::vector<UsageUpdate> nextUpdates(const std::vector<std::string> &collectors,
                                         UsageLedger &ledger, units::TimePoint now);

private:
    std::string ownIp_;
    std::set<std::string> upToDateCollectors_; // collectors that need only recent changes
    units::TimePoint lastFullUpdateAt_{};
};

} // namespace monsoongrade::duties

#endif // MONSOONGRADE_DUTIES_USAGEPUBLISHER_H
