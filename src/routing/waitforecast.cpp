#include <monsoongrade/routing/waitforecast.h>

#include <algorithm>

namespace monsoongrade::routing {

namespace {

// Engines generate for their streams in about a third of the time and read in the rest.
constexpr double ShareOfTimeForReading = 0.64;
// A queue drains in steps of one read, 24 to 108 ms an endpoint; half a second has several.
constexpr auto Window = std::chrono::milliseconds(500);
// Weight of the newest window: the rate follows a lost quarter of the pool within a second.
constexpr double NewestWeight = 0.5;
// What an endpoint may have to read when it takes a request from the queue, a mean read of 100 ms
// and the first steps.
constexpr auto AtEndpoint = std::chrono::milliseconds(300);
// While the overload lasts, requests that can be on time go before those that can't; a late one
// waits about twice as long as what is ahead of it now.
constexpr double LateFactor = 2;
// A late answer is worth more than none, but a client that would wait longer than this is better
// told at once: it comes back within a third of its 5 to 8 s, when there is room.
constexpr auto MaxLateWait = std::chrono::seconds(2);
// Left for the stream itself after its first event; the mean stream takes 0.3 to 1.5 s.
constexpr auto StreamTime = std::chrono::seconds(1);

units::Duration milliseconds(double count)
{
    return std::chrono::duration_cast<units::Duration>(
        std::chrono::duration<double, std::milli>(count));
}

} // namespace

void WaitForecaster::drained(std::int64_t tokens, units::TimePoint now)
{
    if (windowStart_ == units::TimePoint{}) {
        windowStart_ = now;
        inWindow_ = 0;
    }
    inWindow_ += tokens;
    const units::Duration passed = now - windowStart_;
    if (passed < Window)
        return;
    const double rate
        = double(inWindow_) / std::chrono::duration<double, std::milli>(passed).count();
    measured_ = measured_ == 0 ? rate : NewestWeight * rate + (1 - NewestWeight) * measured_;
    windowStart_ = now;
    inWindow_ = 0;
}

double WaitForecaster::drainRate(std::size_t endpoints, double tokensPerMs) const
{
    const double nominal
        = ShareOfTimeForReading * tokensPerMs * double(std::max<std::size_t>(endpoints, 1));
    // An endpoint that hangs drains nothing for a moment; that is not the rate of the next seconds.
    return measured_ == 0 ? nominal : std::max(measured_, nominal / 4);
}

WaitForecast WaitForecaster::forecast(const TokensAhead &ahead, units::Duration targetIn,
                                      units::Duration expiresIn, std::size_t endpoints,
                                      double tokensPerMs) const
{
    const double rate = drainRate(endpoints, tokensPerMs);
    const units::Duration onTimeWait = milliseconds(double(ahead.onTime) / rate);
    if (onTimeWait + AtEndpoint <= targetIn)
        return {};
    const units::Duration backlog = milliseconds(double(ahead.onTime + ahead.late) / rate);
    const units::Duration lateWait
        = milliseconds(LateFactor * double(ahead.onTime + ahead.late) / rate);
    if (lateWait <= MaxLateWait && lateWait + AtEndpoint + StreamTime <= expiresIn)
        return {};
    return {WaitDecision::Refuse, backlog};
}

} // namespace monsoongrade::routing
