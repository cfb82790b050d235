#include <monsoongrade/routing/endpointhealth.h>

#include <algorithm>
#include <cmath>

namespace monsoongrade::routing {

namespace {

// An endpoint that breaks 2 in 100 requests at random has two breaks in a row once in 2,500, so
// that few good ones are suspended; one that is down is noticed by its second request.
constexpr int FailuresToSuspend = 2;
// A restart takes 2 to 5 s. The first pause is short, because a single burst of resets does not
// mean that the endpoint is down; the longest bounds how long a returned one stays unused.
constexpr auto FirstPause = std::chrono::milliseconds(300);
constexpr auto MaxPause = std::chrono::seconds(2);
// Weight of the newest result. 0.1 remembers about the last 20 requests.
constexpr double ResultWeight = 0.1;
constexpr double LatencyWeight = 0.15;
constexpr double MaxCountedSlowness = 20;
// An endpoint that is avoided gets no requests that could clear it, so what is held against it
// halves in this time. Slow and failing spells last 4 to 7 s.
constexpr double HalfLifeSeconds = 3;

double remembered(units::TimePoint since, units::TimePoint now)
{
    const double seconds = std::chrono::duration<double>(now - since).count();
    return std::exp2(-std::max(seconds, 0.0) / HalfLifeSeconds);
}

} // namespace

void EndpointHealth::onSuccess(units::TimePoint now)
{
    failuresInRow_ = 0;
    suspendedUntil_ = {};
    addResult(0, now);
}

void EndpointHealth::onErrorResponse(units::TimePoint now)
{
    failuresInRow_ = 0;
    suspendedUntil_ = {};
    addResult(1, now);
}

void EndpointHealth::onFailure(units::TimePoint now)
{
    ++failuresInRow_;
    addResult(1, now);
    if (failuresInRow_ < FailuresToSuspend)
        return;
    const int doublings = std::min(failuresInRow_ - FailuresToSuspend, 4);
    suspendedUntil_ = now + std::min<units::Duration>(FirstPause * (1 << doublings), MaxPause);
}

void EndpointHealth::onSilence(units::TimePoint now)
{
    failuresInRow_ = std::max(failuresInRow_, FailuresToSuspend - 1);
    onFailure(now);
}

void EndpointHealth::onLatency(double timesExpected, units::TimePoint now)
{
    const double before = slowness(now);
    slowness_ = before + (std::min(timesExpected, MaxCountedSlowness) - before) * LatencyWeight;
    slownessAt_ = now;
}

bool EndpointHealth::accepts(units::TimePoint now) const
{
    return now >= suspendedUntil_;
}

void EndpointHealth::onSent(units::TimePoint now)
{
    // Until the trial request ends, no other is sent: a hundred waiting requests would else all
    // go to an endpoint that is still down.
    if (failuresInRow_ >= FailuresToSuspend)
        suspendedUntil_ = now + MaxPause;
}

double EndpointHealth::failureRate(units::TimePoint now) const
{
    return failureShare_ == 0 ? 0 : failureShare_ * remembered(failureShareAt_, now);
}

double EndpointHealth::slowness(units::TimePoint now) const
{
    return slowness_ == 1 ? 1 : 1 + (slowness_ - 1) * remembered(slownessAt_, now);
}

void EndpointHealth::addResult(double failed, units::TimePoint now)
{
    const double before = failureRate(now);
    failureShare_ = before + (failed - before) * ResultWeight;
    failureShareAt_ = now;
}

} // namespace monsoongrade::routing
