#ifndef MONSOONGRADE_UNITS_HALFLIFE_H
#define MONSOONGRADE_UNITS_HALFLIFE_H

#include <monsoongrade/units/clock.h>

#include <algorithm>
#include <cmath>

namespace monsoongrade::units {

// The share of a decaying value that is left after a time; all of it if no time has passed.
inline double shareLeft(Duration passed, std::chrono::duration<double> halfLife)
{
    const double seconds = std::chrono::duration<double>(passed).count();
    return std::exp2(-std::max(seconds, 0.0) / halfLife.count());
}

} // namespace monsoongrade::units

#endif // MONSOONGRADE_UNITS_HALFLIFE_H
