#include <monsoongrade/routing/endpointratelimiter.h>

#include <algorithm>
#include <cmath>

namespace monsoongrade::routing {

namespace {

// Lets a request be placed slightly early instead of at the exact time; the average rate stays at
// the limit.
constexpr double MaxLevel = 0.25;
// Only a response can show that a limit was lifted, so a few requests are sent at any limit.
constexpr RequestsPerSecond MinPerSecond = 0.1;
// How long a host may use its turn.
constexpr double TurnSeconds = 0.5;

} // namespace

bool EndpointRateLimiter::setLimit(std::optional<RequestsPerSecond> limit, double phase,
                                   units::TimePoint now)
{
    if (limit == limit_)
        return false;
    if (!limit_) {
        level_ = MaxLevel + phase;
        levelUpdatedAt_ = now;
        limitedSince_ = now;
        phase_ = phase;
    }
    limit_ = limit;
    return true;
}

bool EndpointRateLimiter::allows(double share, units::TimePoint now) const
{
    return !limit_ || (levelAt(share, now) <= MaxLevel && (share >= 1 || isOwnTurn(share, now)));
}

bool EndpointRateLimiter::isOwnTurn(double share, units::TimePoint now) const
{
    const double seconds = std::chrono::duration<double>(now - limitedSince_).count();
    const double turns = seconds * std::max(*limit_, MinPerSecond) * share - phase_;
    const double sinceTurn
        = (turns - std::floor(turns)) / (std::max(*limit_, MinPerSecond) * share);
    return turns >= 0 && sinceTurn <= TurnSeconds;
}

void EndpointRateLimiter::onPlaced(double share, units::TimePoint now)
{
    if (!limit_)
        return;
    level_ = levelAt(share, now) + 1;
    levelUpdatedAt_ = now;
}

double EndpointRateLimiter::levelAt(double share, units::TimePoint now) const
{
    const double seconds = std::chrono::duration<double>(now - levelUpdatedAt_).count();
    return std::max(0.0, level_ - seconds * std::max(*limit_, MinPerSecond) * share);
}

} // namespace monsoongrade::routing
