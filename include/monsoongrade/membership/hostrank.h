#ifndef MONSOONGRADE_MEMBERSHIP_HOSTRANK_H
#define MONSOONGRADE_MEMBERSHIP_HOSTRANK_H

#include <monsoongrade/membership/fleetview.h>

#include <cstddef>
#include <optional>
#include <string>

namespace monsoongrade::membership {

// The few hosts that do a common task, found without asking anybody.
struct HostRank
{
    std::size_t rank = 0;
    // How many do the task.
    std::size_t count = 0;
};

// The host's place among the first `most` live entry hosts in the order of the task's hash.
// Nothing where it is not among them, or where half of the known hosts or more are not live: a
// daemon that is cut off would else take itself for the first, and in a cut of many they would
// all do the task at once.
std::optional<HostRank> hostRank(const std::string &task, const units::HostName &host,
                                 const FleetView &view, std::size_t most);

} // namespace monsoongrade::membership

#endif // MONSOONGRADE_MEMBERSHIP_HOSTRANK_H
