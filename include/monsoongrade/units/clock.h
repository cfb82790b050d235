#ifndef MONSOONGRADE_UNITS_CLOCK_H
#define MONSOONGRADE_UNITS_CLOCK_H

#include <chrono>

namespace monsoongrade::units {

using Duration = std::chrono::nanoseconds;
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

// Source of time that never goes back. Passed in, so that tests decide what time it is.
class Clock
{
public:
    virtual ~Clock() = default;
    virtual TimePoint now() const = 0;
};

} // namespace monsoongrade::units

#endif // MONSOONGRADE_UNITS_CLOCK_H
