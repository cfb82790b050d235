#ifndef MONSOONGRADE_OBSERVABILITY_LOGBUDGET_H
#define MONSOONGRADE_OBSERVABILITY_LOGBUDGET_H

#include <monsoongrade/units/clock.h>

#include <cstdint>

namespace monsoongrade::observability {

// Bounds how many lines a second are written of events whose number grows with the fleet: when a
// large one starts, a line for each of its hosts and endpoints would cost more than all other work.
class LogBudget
{
public:
    explicit LogBudget(int linesPerSecond)
        : linesPerSecond_(linesPerSecond)
    {
    }
    // Whether one more line may be written; counts it as left out if not.
    bool allows(units::TimePoint now);
    // Lines left out since the last call.
    std::uint64_t takeLeftOut();

private:
    int linesPerSecond_;
    int written_ = 0; // in the present second
    units::TimePoint secondEnds_{};
    std::uint64_t leftOut_ = 0;
};

} // namespace monsoongrade::observability

#endif // MONSOONGRADE_OBSERVABILITY_LOGBUDGET_H
