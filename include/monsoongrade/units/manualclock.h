#ifndef MONSOONGRADE_UNITS_MANUALCLOCK_H
#define MONSOONGRADE_UNITS_MANUALCLOCK_H

#include <monsoongrade/units/clock.h>

namespace monsoongrade::units {

// A clock that stands still until it is told to move; for tests and simulated benchmarks.
class ManualClock : public Clock
{
public:
    TimePoint now() const override { return now_; }
    void advance(Duration step) { now_ += step; }

private:
    TimePoint now_{std::chrono::hours(1)};
};

} // namespace monsoongrade::units

#endif // MONSOONGRADE_UNITS_MANUALCLOCK_H
