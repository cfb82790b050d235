#ifndef MONSOONGRADE_UNITS_WALLCLOCK_H
#define MONSOONGRADE_UNITS_WALLCLOCK_H

#include <monsoongrade/units/clock.h>

#include <chrono>

namespace monsoongrade::units {

// Time of day, as different machines show it.
using WallTime = std::chrono::time_point<std::chrono::system_clock, Duration>;

// Converts this process's time to the time of day. Passed in, so that tests decide what time it is.
class WallClock
{
public:
    virtual ~WallClock() = default;
    // The time of day at a past or the current time of this process's clock.
    virtual WallTime at(TimePoint time) const = 0;
};

} // namespace monsoongrade::units

#endif // MONSOONGRADE_UNITS_WALLCLOCK_H
