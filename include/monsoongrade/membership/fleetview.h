#ifndef MONSOONGRADE_MEMBERSHIP_FLEETVIEW_H
#define MONSOONGRADE_MEMBERSHIP_FLEETVIEW_H

#include <monsoongrade/membership/member.h>

#include <set>
#include <vector>

namespace monsoongrade::membership {

// What is known of the fleet at one moment. Copied, never changed in place.
struct FleetView
{
    std::vector<Member> entryHosts;
    // Hosts of endpoints that are leaving and get no new work.
    std::set<units::HostName> leavingEndpointHosts;
    // Hosts of endpoints that some daemon couldn't reach.
    std::set<units::HostName> suspectedEndpointHosts;

    // Entry hosts that take new work.
    std::vector<Member> liveEntryHosts() const;
    // Hosts whose scheduler may be asked for slots.
    std::vector<Member> liveSchedulerHosts() const;
};

} // namespace monsoongrade::membership

#endif // MONSOONGRADE_MEMBERSHIP_FLEETVIEW_H
