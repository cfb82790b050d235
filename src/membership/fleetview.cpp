#include <monsoongrade/membership/fleetview.h>

namespace monsoongrade::membership {

std::vector<Member> FleetView::liveEntryHosts() const
{
    std::vector<Member> live;
    for (const Member &member : entryHosts) {
        if (!member.leaving && !member.suspected)
            live.push_back(member);
    }
    return live;
}

std::vector<Member> FleetView::liveSchedulerHosts() const
{
    std::vector<Member> live;
    for (const Member &member : entryHosts) {
        if (!member.schedulerLeaving && !member.schedulerDead)
            live.push_back(member);
    }
    return live;
}

} // namespace monsoongrade::membership
