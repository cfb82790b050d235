#ifndef MONSOONGRADE_ROUTING_RETRYALLOWANCE_H
#define MONSOONGRADE_ROUTING_RETRYALLOWANCE_H

#include <monsoongrade/units/clock.h>

#include <deque>

namespace monsoongrade::routing {

// Bound on repeats over a sliding window: share x requests + fixed, for all hosts together.
struct RetryLimit
{
    double share = 0.2;
    double fixed = 50;
    units::Duration window = std::chrono::seconds(10);
};

// Bounds this host's repeats to one pool. Without it, each request that fails in an overload comes
// back and keeps the overload alive. Each host uses its own requests and an equal part of the
// fixed number, so the bound holds over all hosts without an exchange between them.
class RetryAllowance
{
public:
    // A first send to the pool.
    void onRequest(units::TimePoint now);
    // True if another send fits, which it then counts. hosts: live hosts that share the bound.
    bool trySpend(const RetryLimit &bound, int hosts, units::TimePoint now);
    // True if trySpend() would allow it.
    bool hasLeft(const RetryLimit &bound, int hosts, units::TimePoint now);

private:
    void forgetOld(const RetryLimit &bound, units::TimePoint now);

    std::deque<units::TimePoint> requests_;
    std::deque<units::TimePoint> repeats_;
};

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_RETRYALLOWANCE_H
