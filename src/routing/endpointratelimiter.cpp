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
        limitedSince_ = now;
        phase_ = phase;
    }
    limit_ = limit;
    return true;
}

bool EndpointRateLimiter::allows(const RateShare &share, units::TimePoint now) const
{
    if (!limit_)
        return true;
    return share.fraction > 0 && levelAt(share) <= MaxLevel
        && (!share.takesTurns || isOwnTurn(share.fraction, now));
}

bool EndpointRateLimiter::isOwnTurn(double fraction, units::TimePoint now) const
{
    const double seconds = std::chrono::duration<double>(now - limitedSince_).count();
    const double turns = seconds * std::max(*limit_, MinPerSecond) * fraction - phase_;
    const double sinceTurn
        = (turns - std::floor(turns)) / (std::max(*limit_, MinPerSecond) * fraction);
    return turns >= 0 && sinceTurn <= TurnSeconds;
}

void EndpointRateLimiter::onPlaced(const RateShare &share)
{
    if (!limit_)
        return;
    level_ = levelAt(share) + 1;
    accruedAtLevel_ = share.accruedSeconds;
}

double EndpointRateLimiter::levelAt(const RateShare &share) const
{
    const double accrued = std::max(0.0, share.accruedSeconds - accruedAtLevel_);
    return std::max(0.0, level_ - accrued * std::max(*limit_, MinPerSecond));
}

} // namespace monsoongrade::routing
