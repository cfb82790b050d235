#ifndef MONSOONGRADE_DUTIES_DUTY_H
#define MONSOONGRADE_DUTIES_DUTY_H

#include <monsoongrade/duties/leaserecord.h>
#include <monsoongrade/units/clock.h>

namespace monsoongrade::duties {

// Timeout of a duty's call, after which its connection is reset. The lease holder starts a call
// only if its lease lasts at least that long.
constexpr units::Duration MaxCallTime = std::chrono::milliseconds(900);

// A task that only the lease holder runs, on behalf of all hosts.
class Duty
{
public:
    virtual ~Duty() = default;
    // Called several times a second while the lease is valid for at least MaxCallTime. Starts the
    // calls that are due; each carries the token.
    virtual void act(FencingToken token) = 0;
    // True while a call of this duty may still reach the platform.
    virtual bool hasOpenCall() const = 0;
};

} // namespace monsoongrade::duties

#endif // MONSOONGRADE_DUTIES_DUTY_H
