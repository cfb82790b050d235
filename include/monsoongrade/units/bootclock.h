#ifndef MONSOONGRADE_UNITS_BOOTCLOCK_H
#define MONSOONGRADE_UNITS_BOOTCLOCK_H

#include <monsoongrade/units/clock.h>

namespace monsoongrade::units {

// Time since the machine booted, including the time for which it was suspended. Deadlines and
// leases use it: by a clock that stops during a suspension, a lease that ran out meanwhile would
// still look valid after the wake-up.
class BootClock : public Clock
{
public:
    TimePoint now() const override;
};

} // namespace monsoongrade::units

#endif // MONSOONGRADE_UNITS_BOOTCLOCK_H
