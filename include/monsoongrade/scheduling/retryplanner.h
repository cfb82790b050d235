#ifndef MONSOONGRADE_SCHEDULING_RETRYPLANNER_H
#define MONSOONGRADE_SCHEDULING_RETRYPLANNER_H

#include <monsoongrade/units/clock.h>
#include <monsoongrade/units/ids.h>

#include <cstddef>
#include <map>

namespace monsoongrade::scheduling {

// Tells the refused when to come back. A refused audience that is told one moment returns as a
// second burst and is refused again; so each refusal of a tier books the next moment at which
// the backlog's drain rate has room for one more, and a little of the request's own jitter.
class RetryPlanner
{
public:
    // Off: everybody is told the time at which today's backlog has drained. For measurements.
    void setSpreading(bool on) { spreading_ = on; }

    // Never zero. "ahead" counts the waiting asks of the same and of higher tiers.
    units::Duration retryAfter(units::Tier tier, const units::RequestId &request, std::size_t ahead,
                               double drainPerSecond, units::TimePoint now);

private:
    bool spreading_ = true;
    std::map<units::Tier, units::TimePoint> nextReturn_;
};

} // namespace monsoongrade::scheduling

#endif // MONSOONGRADE_SCHEDULING_RETRYPLANNER_H
