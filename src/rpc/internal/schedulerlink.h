#ifndef MONSOONGRADE_SRC_RPC_INTERNAL_SCHEDULERLINK_H
#define MONSOONGRADE_SRC_RPC_INTERNAL_SCHEDULERLINK_H

#include <rpc/internal/schedulerconnection.h>

#include <monsoongrade/membership/member.h>
#include <monsoongrade/units/clock.h>

#include <memory>
#include <optional>

namespace monsoongrade::rpc::internal {

// What a router knows of one connection to one scheduler.
struct SchedulerLink
{
    membership::Member scheduler;
    // Null once given up.
    std::unique_ptr<SchedulerConnection> connection;
    units::TimePoint lastHeard;
    std::optional<units::TimePoint> pingSent;
    // It answered at least once.
    bool heard = false;
    bool leaving = false;
    // Pools that moved away from here and whose grants the next scheduler has yet to count.
    int movesPending = 0;
    // Grants held there.
    int held = 0;

    bool isOpen() const { return connection != nullptr; }
};

using LinkPointer = std::shared_ptr<SchedulerLink>;

} // namespace monsoongrade::rpc::internal

#endif // MONSOONGRADE_SRC_RPC_INTERNAL_SCHEDULERLINK_H
