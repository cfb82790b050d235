#ifndef MONSOONGRADE_UNITS_STEADYCLOCK_H
#define MONSOONGRADE_UNITS_STEADYCLOCK_H

#include <monsoongrade/units/clock.h>

namespace monsoongrade::units {

// The machine's monotonic clock.
class SteadyClock : public Clock
{
public:
    TimePoint now() const override { return std::chrono::steady_clock::now(); }
};

} // namespace monsoongrade::units

#endif // MONSOONGRADE_UNITS_STEADYCLOCK_H
