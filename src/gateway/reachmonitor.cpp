#include <monsoongrade/gateway/reachmonitor.h>

#include <gateway/internal/milliseconds.h>

#include <monsoongrade/observability/log.h>

#include <algorithm>
#include <utility>

namespace monsoongrade::gateway {

namespace {

// A pool that is only slow makes many requests look silent at once; one round of probes answers
// for all of them.
constexpr auto MinProbeInterval = std::chrono::milliseconds(250);
// How soon a lost pool is found again. Each probe costs the endpoint one connection.
constexpr auto LostProbeInterval = std::chrono::milliseconds(500);
// Hosts that lost a pool together would otherwise all connect at the moment of its return.
constexpr int MaxProbeJitterMs = 250;
// Longest time that a probe takes, with some allowance for a late timer.
constexpr auto MaxDoubt = std::chrono::milliseconds(500);

} // namespace

ReachMonitor::ReachMonitor(httpio::Timers &timers, EndpointConnections &connections,
                           const routing::EndpointRegistry &registry)
    : timers_(timers)
    , connections_(connections)
    , registry_(registry)
    , random_(std::random_device()())
{
    connections_.setConnectObserver(
        [this](const routing::DiscoveredEndpoint &endpoint, bool isConnected,
               units::TimePoint begunAt) { onConnectEnded(endpoint, isConnected, begunAt); });
}

void ReachMonitor::onSuspected(const routing::EndpointStatus &endpoint, units::TimePoint sentAt)
{
    const units::PoolName &pool = endpoint.registration.pool;
    const auto &available = registry_.available(pool);
    const bool hasReceived = std::any_of(available.begin(), available.end(), [&](const auto &each) {
        return each->lastReceivedAt >= sentAt;
    });
    if (!hasReceived && !isLost(pool) && mayProbe(pool))
        probe(endpoint);
}

void ReachMonitor::whenFaultIsKnown(const units::PoolName &pool, FaultHandler handler)
{
    PoolState &state = pools_[pool.value()];
    if (isLost(pool) || timers_.now() >= state.inDoubtUntil) {
        handler(!isLost(pool));
        return;
    }
    state.waiting.push_back(std::move(handler));
    if (state.waiting.size() == 1)
        timers_.at(state.inDoubtUntil, [this, pool] { resolve(pool, !isLost(pool)); });
}

void ReachMonitor::resolve(const units::PoolName &pool, bool isEndpointsFault)
{
    PoolState &state = pools_[pool.value()];
    state.inDoubtUntil = {};
    const std::vector<FaultHandler> waiting = std::exchange(state.waiting, {});
    for (const FaultHandler &handler : waiting)
        handler(isEndpointsFault);
}

void ReachMonitor::probe(const routing::EndpointStatus &endpoint)
{
    pools_[endpoint.registration.pool.value()].inDoubtUntil = timers_.now() + MaxDoubt;
    connections_.openIdle(endpoint);
}

void ReachMonitor::onConnectEnded(const routing::DiscoveredEndpoint &endpoint, bool isConnected,
                                  units::TimePoint begunAt)
{
    const units::TimePoint now = timers_.now();
    const units::PoolName &pool = endpoint.pool;
    if (isConnected) {
        resolve(pool, true);
        if (reach_.onConnected(pool, now) == routing::EndpointReach::Change::Regained)
            observability::log(
                observability::LogLevel::Info, "pool-reachable",
                {{"pool", pool.value()},
                 {"endpoint", endpoint.id.value()},
                 {"unreachable-ms", internal::inMilliseconds(now - pools_[pool.value()].lostAt)}});
        return;
    }
    const std::size_t poolSize = registry_.available(pool).size();
    const auto change = reach_.onConnectFailed(pool, endpoint.id, begunAt, poolSize, now);
    if (change == routing::EndpointReach::Change::Lost) {
        pools_[pool.value()].lostAt = now;
        resolve(pool, false);
        observability::log(observability::LogLevel::Warning, "pool-unreachable",
                           {{"pool", pool.value()},
                            {"endpoints", std::uint64_t(poolSize)},
                            {"last-failed", endpoint.id.value()}});
        probeWhileLost(pool);
    } else if (!isLost(pool) && mayProbe(pool)) {
        probeOthers(pool);
    }
}

void ReachMonitor::probeOthers(const units::PoolName &pool)
{
    auto candidates = registry_.available(pool);
    const std::size_t needed = reach_.failuresUntilLost(pool, candidates.size(), timers_.now());
    const auto hasFailed = [&](const routing::EndpointRegistry::Status &endpoint) {
        return reach_.hasFailed(pool, endpoint->registration.id);
    };
    candidates.erase(std::remove_if(candidates.begin(), candidates.end(), hasFailed),
                     candidates.end());
    std::shuffle(candidates.begin(), candidates.end(), random_);
    candidates.resize(std::min(candidates.size(), needed));
    for (const auto &endpoint : candidates)
        probe(*endpoint);
}

void ReachMonitor::probeWhileLost(const units::PoolName &pool)
{
    const auto jitter
        = std::chrono::milliseconds(std::uniform_int_distribution(0, MaxProbeJitterMs)(random_));
    timers_.after(LostProbeInterval + jitter, [this, pool] {
        if (!isLost(pool))
            return;
        const auto &available = registry_.available(pool);
        if (available.empty()) {
            reach_.forget(pool);
            return;
        }
        const std::size_t index
            = std::uniform_int_distribution<std::size_t>(0, available.size() - 1)(random_);
        connections_.openIdle(*available[index]);
        probeWhileLost(pool);
    });
}

bool ReachMonitor::mayProbe(const units::PoolName &pool)
{
    const units::TimePoint now = timers_.now();
    units::TimePoint &last = pools_[pool.value()].probedAt;
    if (now - last < MinProbeInterval)
        return false;
    last = now;
    return true;
}

} // namespace monsoongrade::gateway
