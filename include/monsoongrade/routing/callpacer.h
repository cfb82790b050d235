#ifndef MONSOONGRADE_ROUTING_CALLPACER_H
#define MONSOONGRADE_ROUTING_CALLPACER_H

#include <monsoongrade/units/clock.h>

#include <algorithm>

namespace monsoongrade::routing {

// Limits the rate of watch calls to the store. A watch call returns on each change, so a hundred
// endpoints that register within seconds would cause a hundred calls. The first few calls are made
// immediately, so that a single change is passed on without delay; later calls wait for the
// interval and return all changes since the previous one.
class CallPacer
{
public:
    // burst: consecutive calls without a delay. interval: time between calls in the long run.
    CallPacer(int burst, units::Duration interval)
        : interval_(interval)
        , burstAllowance_(interval * (burst - 1))
    {
    }

    // Registers a call that starts at now or later; returns how long it must wait.
    units::Duration delay(units::TimePoint now)
    {
        dueAt_ = std::max(dueAt_, now - burstAllowance_);
        const units::Duration delay
            = std::max<units::Duration>(dueAt_ - now, units::Duration::zero());
        dueAt_ += interval_;
        return delay;
    }

private:
    units::Duration interval_;
    units::Duration burstAllowance_;
    units::TimePoint dueAt_{};
};

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_CALLPACER_H
