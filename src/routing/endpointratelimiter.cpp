#include <monsoongrade/routing/endpointratelimiter.h>

#include <algorithm>
#include <cmath>

namespace monsoongrade::routing {

namespace {

// Placed a little early, a request does not wait for exact timing; the average stays at the limit.
constexpr double MaxDebt = 0.25;
// Only an answer tells that a limit is over, so a little is sent whatever the limit is.
constexpr RequestsPerSecond MinPerSecond = 0.1;
// How long a turn may be used.
constexpr double TurnSeconds = 0.5;

} // namespace

bool EndpointRateLimiter::setLimit(std::optional<RequestsPerSecond> limit, double phase,
                                   units::TimePoint now)
{
    if (limit == limit_)
        return false;
    if (!limit_) {
        debt_ = MaxDebt + phase;
        debtSince_ = now;
        limitedSince_ = now;
        phase_ = phase;
    }
    limit_ = limit;
    return true;
}

bool EndpointRateLimiter::allows(double share, units::TimePoint now) const
{
    return !limit_ || (debtAt(share, now) <= MaxDebt && (share >= 1 || isOwnTurn(share, now)));
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
    debt_ = debtAt(share, now) + 1;
    debtSince_ = now;
}

double EndpointRateLimiter::debtAt(double share, units::TimePoint now) const
{
    const double seconds = std::chrono::duration<double>(now - debtSince_).count();
    return std::max(0.0, debt_ - seconds * std::max(*limit_, MinPerSecond) * share);
}

} // namespace monsoongrade::routing
