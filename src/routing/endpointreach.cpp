#include <monsoongrade/routing/endpointreach.h>

#include <algorithm>

namespace monsoongrade::routing {

namespace {

// Endpoints that must fail for a pool to count as lost. Two fail together by chance when one
// endpoint crashes while another is restarted.
constexpr std::size_t FailedEndpointsForLoss = 3;
// Older failures say nothing about the present: a crashed endpoint is back within 5 s.
constexpr auto FailureRetention = std::chrono::seconds(5);

std::size_t neededFailures(std::size_t poolSize)
{
    return std::clamp<std::size_t>(poolSize, 1, FailedEndpointsForLoss);
}

} // namespace

EndpointReach::Change EndpointReach::onConnected(const units::PoolName &pool, units::TimePoint now)
{
    PoolReach &reach = pools_[pool.value()];
    const bool wasLost = reach.isLost;
    reach = {now, {}, false};
    return wasLost ? Change::Regained : Change::None;
}

EndpointReach::Change EndpointReach::onConnectFailed(const units::PoolName &pool,
                                                     const units::EndpointId &endpoint,
                                                     units::TimePoint begunAt, std::size_t poolSize,
                                                     units::TimePoint now)
{
    PoolReach &reach = pools_[pool.value()];
    // The path worked after this connection was begun, so its failure is the endpoint's.
    if (begunAt < reach.connectedAt)
        return Change::None;
    reach.failedAt[endpoint.value()] = now;
    if (reach.isLost || failuresUntilLost(pool, poolSize, now) > 0)
        return Change::None;
    reach.isLost = true;
    return Change::Lost;
}

void EndpointReach::forget(const units::PoolName &pool)
{
    pools_.erase(pool.value());
}

bool EndpointReach::isLost(const units::PoolName &pool) const
{
    const auto found = pools_.find(pool.value());
    return found != pools_.end() && found->second.isLost;
}

std::vector<units::PoolName> EndpointReach::lostPools() const
{
    std::vector<units::PoolName> lost;
    for (const auto &[pool, reach] : pools_) {
        if (reach.isLost)
            lost.emplace_back(pool);
    }
    return lost;
}

std::size_t EndpointReach::failuresUntilLost(const units::PoolName &pool, std::size_t poolSize,
                                             units::TimePoint now) const
{
    const std::size_t needed = neededFailures(poolSize);
    const auto found = pools_.find(pool.value());
    if (found == pools_.end())
        return needed;
    const auto &failures = found->second.failedAt;
    const auto recent
        = std::size_t(std::count_if(failures.begin(), failures.end(), [now](const auto &failure) {
              return now - failure.second < FailureRetention;
          }));
    return needed - std::min(needed, recent);
}

bool EndpointReach::hasFailed(const units::PoolName &pool, const units::EndpointId &endpoint) const
{
    const auto found = pools_.find(pool.value());
    return found != pools_.end() && found->second.failedAt.count(endpoint.value()) != 0;
}

} // namespace monsoongrade::routing
