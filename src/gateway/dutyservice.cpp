#include <monsoongrade/gateway/dutyservice.h>

#include <monsoongrade/duties/dutyhosts.h>

#include <algorithm>

namespace monsoongrade::gateway {

namespace {

constexpr auto RoundInterval = std::chrono::milliseconds(100);
// Pools are scaled only while the endpoint list read from the store is at most this old.
constexpr auto MaxListAge = std::chrono::milliseconds(2500);

} // namespace

DutyService::DutyService(httpio::Timers &timers, Gateway &gateway, Stores stores,
                         duties::DutyPlatform &platform, const units::Clock &clock)
    : timers_(timers)
    , gateway_(gateway)
    , runner_({gateway.state().usage->ledger().sourceId(), gateway.settings().leaseDuration,
               gateway.settings().leaseDuration},
              stores.lease, clock)
    , usageReporter_(gateway.state().usage->windows(), gateway.state().usage->ledger(),
                     gateway.state().wallTime, stores.reports, platform, clock)
    , preemptibleSpread_({})
    , autoscaler_(*this, preemptibleSpread_, stores.baselines, platform,
                  gateway.state().log.metrics, clock)
{
    runner_.add(usageReporter_);
    runner_.add(autoscaler_);
}

void DutyService::stop()
{
    isStopping_ = true;
    runner_.stop();
    gateway_.setDutyToken(runner_.currentToken().value());
}

std::vector<scaling::ScaledPool> DutyService::pools() const
{
    std::vector<scaling::ScaledPool> pools;
    const GatewayState &state = gateway_.state();
    if (state.table == nullptr)
        return pools;
    for (const routing::TrafficPool &pool : state.table->configuration().pools) {
        if (pool.scaling)
            pools.push_back({pool.name, *pool.scaling,
                             scaling::countEndpoints(state.registry.listed(pool.name))});
    }
    return pools;
}

bool DutyService::isCurrent() const
{
    return gateway_.state().lease.age(timers_.now()) < units::Duration(MaxListAge);
}

void DutyService::round()
{
    const std::vector<std::string> candidates = duties::dutyCandidates(gateway_.hosts());
    const bool isCandidate = !isStopping_
        && std::find(candidates.begin(), candidates.end(), gateway_.settings().ip)
            != candidates.end();
    runner_.run(isCandidate);
    gateway_.setDutyToken(runner_.currentToken().value());
    timers_.after(RoundInterval, [this] { round(); });
}

} // namespace monsoongrade::gateway
