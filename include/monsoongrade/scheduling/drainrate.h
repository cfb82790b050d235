#ifndef MONSOONGRADE_SCHEDULING_DRAINRATE_H
#define MONSOONGRADE_SCHEDULING_DRAINRATE_H

#include <monsoongrade/units/clock.h>

namespace monsoongrade::scheduling {

// Releases a second, as a count that decays over a few seconds. Averaging one over the gaps
// instead would let two releases in the same moment look like thousands a second.
class DrainRate
{
public:
    void count(units::TimePoint now);
    double perSecond(units::TimePoint now) const;

private:
    double decayed(units::TimePoint now) const;

    double count_ = 0;
    units::TimePoint last_{};
};

} // namespace monsoongrade::scheduling

#endif // MONSOONGRADE_SCHEDULING_DRAINRATE_H
