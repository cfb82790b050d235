#ifndef MONSOONGRADE_ROUTING_CALLPACER_H
#define MONSOONGRADE_ROUTING_CALLPACER_H

#include <monsoongrade/units/clock.h>

#include <algorithm>

namespace monsoongrade::routing {

// Paces calls that each answer would make at once. A watch of the store returns with each change:
// when a hundred endpoints register within seconds, it would be made a hundred times. The first few
// calls go at once, so that a single change is passed on without delay; the others wait until the
// interval allows them, and then bring all changes since.
class CallPacer
{
public:
    // atOnce: calls in a row without a pause. interval: between calls for good.
    CallPacer(int atOnce, units::Duration interval)
        : interval_(interval)
        , saved_(interval * (atOnce - 1))
    {
    }

    // Counts a call that begins at now or later; returns how long it has to wait.
    units::Duration delay(units::TimePoint now)
    {
        dueAt_ = std::max(dueAt_, now - saved_);
        const units::Duration delay
            = std::max<units::Duration>(dueAt_ - now, units::Duration::zero());
        dueAt_ += interval_;
        return delay;
    }

private:
    units::Duration interval_;
    units::Duration saved_;
    units::TimePoint dueAt_{};
};

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_CALLPACER_H
