#ifndef MONSOONGRADE_DUTIES_DUTYPLATFORM_H
#define MONSOONGRADE_DUTIES_DUTYPLATFORM_H

#include <monsoongrade/duties/leaserecord.h>
#include <monsoongrade/duties/usagewindow.h>
#include <monsoongrade/duties/workerorder.h>

#include <functional>

namespace monsoongrade::duties {

enum class CallOutcome {
    Accepted,
    Unavailable, // what was asked for is not to be had at the moment
    Rejected, // nothing was done: too many calls, or the platform is in trouble
    NoAnswer, // the call may have taken effect
};

// Short name for logs and counters.
const char *callOutcomeName(CallOutcome outcome);

// Calls to the platform that one host at a time makes for all. Each reports once, at most
// MaxCallTime later; one that is given up then does not arrive any more.
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
