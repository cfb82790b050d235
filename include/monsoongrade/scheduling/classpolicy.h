#ifndef MONSOONGRADE_SCHEDULING_CLASSPOLICY_H
#define MONSOONGRADE_SCHEDULING_CLASSPOLICY_H

#include <monsoongrade/units/clock.h>
#include <monsoongrade/units/ids.h>

namespace monsoongrade::scheduling {

// What to do with a request whose target can no longer be met.
enum class LatePolicy { Drop, Serve };

// How one class of callers is ordered against the others.
struct ClassPolicy
{
    units::ClassName name;
    units::Tier tier;
    double weight = 1.0;
    units::Duration firstTokenTarget = std::chrono::seconds(5);
    units::Duration wholeAnswerTarget = std::chrono::seconds(60);
    // Longest time in the queue; after it the request is refused as not run.
    units::Duration maxWait = std::chrono::seconds(30);
    LatePolicy late = LatePolicy::Serve;
};

} // namespace monsoongrade::scheduling

#endif // MONSOONGRADE_SCHEDULING_CLASSPOLICY_H
