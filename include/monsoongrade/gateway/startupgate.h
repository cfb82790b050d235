#ifndef MONSOONGRADE_GATEWAY_STARTUPGATE_H
#define MONSOONGRADE_GATEWAY_STARTUPGATE_H

#include <monsoongrade/httpio/timers.h>

#include <functional>
#include <vector>

namespace monsoongrade::gateway {

// Lets requests wait that arrive at a host which has just started and still reads its first
// configuration and endpoints.
//
// The load it answers: all hosts lose power and return within a moment. Callers connect at once,
// while all hosts read the same large configuration through the store's link, which takes half a
// second for 200 of them. Refused, a request would use up its client's retry; here it waits for
// what is under way. The wait is bounded from the start of the process, so a host that finds no
// store refuses at once.
class StartupGate
{
public:
    explicit StartupGate(httpio::Timers &timers);

    // A configuration is in force here, and a list of endpoints is known.
    void onConfiguration();
    void onEndpoints();

    // True if requests shall wait: something is missing and the wait is not over.
    bool isAwaited() const;
    // Calls the function once nothing is missing or the wait is over. Only while isAwaited().
    void await(std::function<void()> function);

private:
    void release();
    bool isComplete() const { return hasConfiguration_ && hasEndpoints_; }

    httpio::Timers &timers_;
    units::TimePoint waitEndsAt_;
    bool hasConfiguration_ = false;
    bool hasEndpoints_ = false;
    bool isTimerSet_ = false;
    std::vector<std::function<void()>> waiting_;
};

} // namespace monsoongrade::gateway

#endif // MONSOONGRADE_GATEWAY_STARTUPGATE_H
