#include <monsoongrade/routing/endpointhealth.h>

#include <monsoongrade/units/halflife.h>

#include <algorithm>

namespace monsoongrade::routing {

namespace {

// An endpoint that fails 2 % of its requests at random fails two in a row once in 2,500 requests,
// so few healthy endpoints are suspended; one that is down is detected by its second request.
constexpr int FailuresToSuspend = 2;
// A restart takes 2 to 5 s. The first suspension is short, because a single burst of resets does
// not mean that the endpoint is down; the maximum limits how long a recovered one stays unused.
constexpr auto FirstSuspension = std::chrono::milliseconds(300);
constexpr auto MaxSuspension = std::chrono::seconds(2);
// Weight of the newest result in the moving average. 0.1 covers about the last 20 requests.
constexpr double ResultWeight = 0.1;
constexpr double LatencyWeight = 0.15;
constexpr double MaxCountedLatencyRatio = 20;
// An avoided endpoint gets no requests that could improve its averages, so they decay with this
// half-life. Slow and failing periods last 4 to 7 s.
constexpr std::chrono::duration<double> HalfLife = std::chrono::seconds(3);

} // namespace

void EndpointHealth::onSuccess(units::TimePoint now)
{
    consecutiveFailures_ = 0;
    suspendedUntil_ = {};
    addResult(0, now);
}

void EndpointHealth::onErrorResponse(units::TimePoint now)
{
    consecutiveFailures_ = 0;
    suspendedUntil_ = {};
    addResult(1, now);
}

void EndpointHealth::onFailure(units::TimePoint now)
{
    ++consecutiveFailures_;
    addResult(1, now);
    if (consecutiveFailures_ < FailuresToSuspend)
        return;
    const int doublings = std::min(consecutiveFailures_ - FailuresToSuspend, 4);
    suspendedUntil_
        = now + std::min<units::Duration>(FirstSuspension * (1 << doublings), MaxSuspension);
}

void EndpointHealth::onSilence(units::TimePoint now)
{
    consecutiveFailures_ = std::max(consecutiveFailures_, FailuresToSuspend - 1);
    onFailure(now);
}

void EndpointHealth::onLatency(double latencyRatio, units::TimePoint now)
{
    const double before = slowness(now);
    slowness_ = before + (std::min(latencyRatio, MaxCountedLatencyRatio) - before) * LatencyWeight;
    slownessAt_ = now;
}

bool EndpointHealth::accepts(units::TimePoint now) const
{
    return now >= suspendedUntil_;
}

void EndpointHealth::onSent(units::TimePoint now)
{
    // No other request is sent until the trial request ends: otherwise a hundred waiting requests
    // would all go to an endpoint that is still down.
    if (consecutiveFailures_ >= FailuresToSuspend)
        suspendedUntil_ = now + MaxSuspension;
}

double EndpointHealth::failureRate(units::TimePoint now) const
{
    return failureShare_ == 0 ? 0
                              : failureShare_ * units::shareLeft(now - failureShareAt_, HalfLife);
}

double EndpointHealth::slowness(units::TimePoint now) const
{
    return slowness_ == 1 ? 1 : 1 + (slowness_ - 1) * units::shareLeft(now - slownessAt_, HalfLife);
}

void EndpointHealth::addResult(double failed, units::TimePoint now)
{
    const double before = failureRate(now);
    failureShare_ = before + (failed - before) * ResultWeight;
    failureShareAt_ = now;
}

} // namespace monsoongrade::routing
