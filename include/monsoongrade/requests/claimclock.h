#ifndef MONSOONGRADE_REQUESTS_CLAIMCLOCK_H
#define MONSOONGRADE_REQUESTS_CLAIMCLOCK_H

#include <monsoongrade/units/clock.h>

#include <ctime>

namespace monsoongrade::requests {

// The time since the host's start with the time that it was suspended, which units::SteadyClock
// leaves out: a router on it that wakes from a long sleep would hold its claim for fresh and send
// a request that another router has run meanwhile. Its points are no other clock's.
class ClaimClock : public units::Clock
{
public:
    units::TimePoint now() const override
    {
        timespec time{};
        clock_gettime(CLOCK_BOOTTIME, &time);
        return units::TimePoint(std::chrono::seconds(time.tv_sec)
                                + std::chrono::nanoseconds(time.tv_nsec));
    }
};

} // namespace monsoongrade::requests

#endif // MONSOONGRADE_REQUESTS_CLAIMCLOCK_H
