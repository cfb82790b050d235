#ifndef MONSOONGRADE_DUTIES_USAGEPUBLISHER_H
#define MONSOONGRADE_DUTIES_USAGEPUBLISHER_H

#include <monsoongrade/duties/usageledger.h>
#include <monsoongrade/units/clock.h>

#include <cstddef>
#include <set>
#include <string>
#include <vector>

namespace monsoongrade::duties {

// Own counts to be told to one host.
struct UsageUpdate
{
    std::string collector; // its IP
    std::vector<UsageEntry> entries;
};

// Decides which of its counts a host tells to whom. The load it answers: every host begins requests
// all the time and may be lost at any moment, with what it has not told. So changes are told
// several times a second, and all counts now and then and to each new keeper, which makes up for
// messages that were lost.
class UsagePublisher
{
public:
    explicit UsagePublisher(std::string ownIp);

    // The pause between two rounds. Longer in a large fleet, whose keepers hear from all hosts.
    static units::Duration interval(std::size_t hosts);
    // What is to be told now.
    std::vector<UsageUpdate> nextUpdates(const std::vector<std::string> &keepers,
                                         UsageLedger &ledger, units::TimePoint now);

private:
    std::string ownIp_;
    std::set<std::string> informed_; // keepers that lack only recent changes
    units::TimePoint allToldAt_{};
};

} // namespace monsoongrade::duties

#endif // MONSOONGRADE_DUTIES_USAGEPUBLISHER_H
