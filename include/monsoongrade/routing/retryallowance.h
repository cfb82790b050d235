#ifndef MONSOONGRADE_ROUTING_RETRYALLOWANCE_H
#define MONSOONGRADE_ROUTING_RETRYALLOWANCE_H

#include <monsoongrade/units/clock.h>

#include <deque>

namespace monsoongrade::routing {

// Limit on retries in a sliding window: share x requests + fixed, for all hosts together.
struct RetryLimit
{
    double share = 0.2;
    double fixed = 50;
    units::Duration window = std::chrono::seconds(10);
};

// Limits this host's retries to one pool. Without a limit, the retries of requests that fail in an
// overload sustain it. Each host counts its own requests and an equal part of the fixed number, so
// the limit holds over all hosts without coordination.
//
// Within a window after its start a host does not know what its own earlier process has spent of
// its share, and other hosts may have divided the limit by fewer. It spends nothing then; the
// shares of the others are not affected.
class RetryAllowance
{
public:
    // startedAt: when this process started.
    explicit RetryAllowance(units::TimePoint startedAt)
        : startedAt_(startedAt)
    {
    }

    // Records a first attempt.
    void onRequest(units::TimePoint now);
    // Records a retry and returns true if the limit allows it. hosts: live hosts that share it.
    bool trySpend(const RetryLimit &limit, int hosts, units::TimePoint now);
    // True if trySpend() would succeed.
    bool hasLeft(const RetryLimit &limit, int hosts, units::TimePoint now);

private:
    void removeExpired(const RetryLimit &limit, units::TimePoint now);

    units::TimePoint startedAt_;
    std::deque<units::TimePoint> requests_;
    std::deque<units::TimePoint> retries_;
};

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_RETRYALLOWANCE_H
