#ifndef MONSOONGRADE_TESTS_ROUTING_TESTWALLCLOCKS_H
#define MONSOONGRADE_TESTS_ROUTING_TESTWALLCLOCKS_H

#include <monsoongrade/units/wallclock.h>

namespace monsoongrade::routing {

// Shows the process's own time, plus an error.
class ShiftedWallClock : public units::WallClock
{
public:
    units::WallTime at(units::TimePoint time) const override
    {
        return units::WallTime(time.time_since_epoch() + error);
    }

    units::Duration error{};
};

// For tests whose incarnations are small numbers: every one of them looks later than now.
class LongAgoWallClock : public units::WallClock
{
public:
    units::WallTime at(units::TimePoint) const override
    {
        return units::WallTime(-std::chrono::hours(1));
    }
};

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_TESTS_ROUTING_TESTWALLCLOCKS_H
