#include <monsoongrade/routing/queueing/waitforecast.h>

#include <algorithm>

namespace monsoongrade::routing::queueing {

namespace {

// Engines decode for about a third of the time and prefill in the rest.
constexpr double PrefillTimeShare = 0.64;
// A queue drains in steps of one prefill, 24 to 108 ms per endpoint; half a second has several.
constexpr auto Window = std::chrono::milliseconds(500);
// Weight of the newest window: the rate follows the loss of a quarter of the pool in a second.
constexpr double NewestWeight = 0.5;
// Time from leaving the queue to the first event: the endpoint's outstanding prefill, a mean
// prefill of 100 ms and the first steps.
constexpr auto TimeAtEndpoint = std::chrono::milliseconds(300);
// During an overload, requests that can be on time overtake late ones; a late one waits about twice
// as long as the tokens ahead of it now would take.
constexpr double LateFactor = 2;
// A late response is better than none, but a client that would wait longer than this is refused at
// once: it retries within a third of its 5 to 8 s, when there is capacity.
constexpr auto MaxLateWait = std::chrono::seconds(2);
// Time left for the stream after its first event; the mean stream takes 0.3 to 1.5 s.
constexpr auto StreamTime = std::chrono::seconds(1);

units::Duration milliseconds(double count)
{
    return std::chrono::duration_cast<units::Duration>(
        std::chrono::duration<double, std::milli>(count));
}

} // namespace

bool canBeOnTime(units::Duration wait, units::Duration targetIn)
{
    return wait + TimeAtEndpoint <= targetIn;
}

bool isUsefulLate(units::Duration wait, units::Duration expiresIn)
{
    return wait <= MaxLateWait && wait + TimeAtEndpoint + StreamTime <= expiresIn;
}

void WaitForecaster::onDrained(std::int64_t tokens, units::TimePoint now)
{
    if (windowStart_ == units::TimePoint{}) {
        windowStart_ = now;
        windowTokens_ = 0;
    }
    windowTokens_ += tokens;
    const units::Duration passed = now - windowStart_;
    if (passed < Window)
        return;
    const double rate
        = double(windowTokens_) / std::chrono::duration<double, std::milli>(passed).count();
    measuredRate_
        = measuredRate_ == 0 ? rate : NewestWeight * rate + (1 - NewestWeight) * measuredRate_;
    windowStart_ = now;
    windowTokens_ = 0;
}

double WaitForecaster::drainRate(std::size_t endpoints, double tokensPerMs) const
{
    const double nominal
        = PrefillTimeShare * tokensPerMs * double(std::max<std::size_t>(endpoints, 1));
    // Endpoints that hang for a moment do not determine the rate of the next seconds.
    return measuredRate_ == 0 ? nominal : std::max(measuredRate_, nominal / 4);
}

WaitForecast WaitForecaster::forecast(const TokensAhead &ahead, units::Duration targetIn,
                                      units::Duration expiresIn, std::size_t endpoints,
                                      double tokensPerMs) const
{
    const double rate = drainRate(endpoints, tokensPerMs);
    const units::Duration onTimeWait = milliseconds(double(ahead.onTime) / rate);
    if (canBeOnTime(onTimeWait, targetIn))
        return {};
    const units::Duration backlog = milliseconds(double(ahead.onTime + ahead.late) / rate);
    const units::Duration lateWait
        = milliseconds(LateFactor * double(ahead.onTime + ahead.late) / rate);
    if (isUsefulLate(lateWait, expiresIn))
        return {};
    return {WaitDecision::Refuse, backlog, onTimeWait, rate};
}

} // namespace monsoongrade::routing::queueing
