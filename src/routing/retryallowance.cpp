#include <monsoongrade/routing/retryallowance.h>

#include <algorithm>

namespace monsoongrade::routing {

namespace {

// Hosts may briefly differ in their count of live hosts, and a retry arrives later than it is
// counted here, so a tenth of the limit stays unused.
constexpr double UsableShareOfLimit = 0.9;

} // namespace

void RetryAllowance::onRequest(units::TimePoint now)
{
    requests_.push_back(now);
}

bool RetryAllowance::trySpend(const RetryLimit &limit, int hosts, units::TimePoint now)
{
    if (!hasLeft(limit, hosts, now))
        return false;
    retries_.push_back(now);
    return true;
}

bool RetryAllowance::hasLeft(const RetryLimit &limit, int hosts, units::TimePoint now)
{
    removeExpired(limit, now);
    if (now - startedAt_ < limit.window)
        return false;
    const double allowed
        = limit.share * double(requests_.size()) + limit.fixed / std::max(hosts, 1);
    return double(retries_.size()) + 1 <= allowed * UsableShareOfLimit;
}

void RetryAllowance::removeExpired(const RetryLimit &limit, units::TimePoint now)
{
    while (!requests_.empty() && now - requests_.front() >= limit.window)
        requests_.pop_front();
    while (!retries_.empty() && now - retries_.front() >= limit.window)
        retries_.pop_front();
}

} // namespace monsoongrade::routing
