#ifndef MONSOONGRADE_SCHEDULING_ENDPOINTSTATE_H
#define MONSOONGRADE_SCHEDULING_ENDPOINTSTATE_H

#include <monsoongrade/scheduling/recentprefixes.h>
#include <monsoongrade/scheduling/slotlimit.h>

namespace monsoongrade::scheduling {

// What a cell knows of one endpoint, from its own grants and what came of them.
struct EndpointState
{
    SlotLimit limit;
    RecentPrefixes prefixes;
    int slots = 1;
    int inFlight = 0;
    double tokensInFlight = 0;
    // Of one stream, smoothed; includes the time to the first token. 0 before the first answer.
    double tokensPerSecond = 0;
    // Last answer, or the first grant after a time without any.
    units::TimePoint lastProgress{};
    bool configured = false;
    bool leaving = false;
    bool suspected = false;

    // False if it will take no work any more, unlike one that is only suspected.
    bool hasFuture() const { return configured && !leaving; }
    bool isLive() const { return hasFuture() && !suspected; }
    bool isFree(units::TimePoint now) const { return isLive() && limit.admits(inFlight, now); }
};

} // namespace monsoongrade::scheduling

#endif // MONSOONGRADE_SCHEDULING_ENDPOINTSTATE_H
