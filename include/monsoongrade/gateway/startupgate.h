#ifndef MONSOONGRADE_GATEWAY_STARTUPGATE_H
#define MONSOONGRADE_GATEWAY_STARTUPGATE_H

#include <monsoongrade/httpio/timers.h>

#include <functional>
#include <vector>

namespace monsoongrade::gateway {

// Holds back requests that arrive while a starting host reads its first configuration and endpoint
// list.
//
// After a power loss of the whole fleet, callers connect at once while all hosts read the same
// large configuration over the store's link, which takes half a second for 200 hosts. Refusing
// these requests would use up their clients' retries. The wait is limited from the start of the
// process, so that a host without access to the store soon refuses requests immediately.
class StartupGate
{
public:
    explicit StartupGate(httpio::Timers &timers);

    // A configuration is in force.
    void onConfiguration();
    // A list of endpoints is known.
    void onEndpoints();

    // True while requests have to wait: something is missing and the time limit is not reached.
    bool isClosed() const;
    // Calls the function once both are known or the time limit is reached. Call only while
    // isClosed().
    void callWhenOpen(std::function<void()> function);

private:
    void callWaiting();
    bool isComplete() const { return hasConfiguration_ && hasEndpoints_; }

    httpio::Timers &timers_;
    units::TimePoint opensAt_;
    bool hasConfiguration_ = false;
    bool hasEndpoints_ = false;
    bool isTimerSet_ = false;
    std::vector<std::function<void()>> waiting_;
};

} // namespace monsoongrade::gateway

#endif // MONSOONGRADE_GATEWAY_STARTUPGATE_H
