#include <monsoongrade/routing/retryallowance.h>

#include <algorithm>

namespace monsoongrade::routing {

namespace {

// Hosts count live hosts a little differently for a moment, and a repeat arrives later than it is
// counted here, so a tenth of the bound stays unused.
constexpr double UsedShareOfBound = 0.9;

} // namespace

void RetryAllowance::onRequest(units::TimePoint now)
{
    requests_.push_back(now);
}

bool RetryAllowance::trySpend(const RetryLimit &bound, int hosts, units::TimePoint now)
{
    if (!hasLeft(bound, hosts, now))
        return false;
    repeats_.push_back(now);
    return true;
}

bool RetryAllowance::hasLeft(const RetryLimit &bound, int hosts, units::TimePoint now)
{
    forgetOld(bound, now);
    const double allowed
        = bound.share * double(requests_.size()) + bound.fixed / std::max(hosts, 1);
    return double(repeats_.size()) + 1 <= allowed * UsedShareOfBound;
}

void RetryAllowance::forgetOld(const RetryLimit &bound, units::TimePoint now)
{
    while (!requests_.empty() && now - requests_.front() >= bound.window)
        requests_.pop_front();
    while (!repeats_.empty() && now - repeats_.front() >= bound.window)
        repeats_.pop_front();
}

} // namespace monsoongrade::routing
