#ifndef MONSOONGRADE_DUTIES_DUTYPLATFORM_H
#define MONSOONGRADE_DUTIES_DUTYPLATFORM_H

#include <monsoongrade/duties/leaserecord.h>
#include <monsoongrade/duties/usagewindow.h>
#include <monsoongrade/duties/workerorder.h>

#include <functional>

namespace monsoongrade::duties {

enum class CallOutcome {
    Accepted,
    Unavailable, // no capacity for the order at the moment
    Rejected, // not executed: rate limit, or a fault of the platform
    NoAnswer, // may or may not have been executed
};

// Name used in logs and metrics.
const char *callOutcomeName(CallOutcome outcome);

// Platform calls that only the lease holder makes. Each callback runs once, within MaxCallTime; a
// call that timed out no longer reaches the platform.
class DutyPlatform
{
public:
    using Done = std::function<void(CallOutcome)>;

    virtual ~DutyPlatform() = default;
    virtual void reportUsage(FencingToken token, WindowNumber window, const UsageCounts &counts,
                             Done done)
        = 0;
    virtual void orderWorkers(FencingToken token, const WorkerOrder &order, Done done) = 0;
};

} // namespace monsoongrade::duties

#endif // MONSOONGRADE_DUTIES_DUTYPLATFORM_H
