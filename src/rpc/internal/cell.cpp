#include <rpc/internal/cell.h>

namespace monsoongrade::rpc::internal {

// The place of one waiting call; lives as long as its promise.
class Cell::Waiter
{
public:
    Waiter(kj::PromiseFulfiller<SlotOutcome> &fulfiller, Cell &cell, scheduling::SlotAsk ask)
        : fulfiller_(fulfiller)
        , cell_(cell)
        , request_(ask.request)
    {
        cell_.waiters_[request_] = this;
        cell_.scheduler_.ask(ask);
    }

    ~Waiter()
    {
        if (decided_)
            return;
        cell_.waiters_.erase(request_);
        cell_.scheduler_.cancel(request_);
    }

    void decide(SlotOutcome outcome)
    {
        decided_ = true;
        cell_.waiters_.erase(request_);
        fulfiller_.fulfill(std::move(outcome));
    }

private:
    kj::PromiseFulfiller<SlotOutcome> &fulfiller_;
    Cell &cell_;
    units::RequestId request_;
    bool decided_ = false;
};

Cell::Cell(units::PoolName pool, const units::Clock &clock, observability::Metrics &metrics)
    : pool_(std::move(pool))
    , metrics_(metrics)
    , scheduler_(clock, *this)
{
}

void Cell::configure(const configuration::Configuration &configuration)
{
    scheduler_.configure(configuration.cellPolicy(pool_));
}

void Cell::applyFleet(const configuration::Configuration &configuration,
                      const membership::FleetView &fleet)
{
    const auto pool = configuration.pools.find(pool_);
    if (pool == configuration.pools.end())
        return;
    for (const auto &endpoint : pool->second.endpoints) {
        const bool hostLeaves = fleet.leavingEndpointHosts.count(endpoint.host) > 0;
        scheduler_.setLeaving(endpoint.id, hostLeaves || configuration.isDrained(endpoint));
    }
}

kj::Promise<SlotOutcome> Cell::ask(scheduling::SlotAsk ask)
{
    return kj::newAdaptedPromise<SlotOutcome, Waiter>(*this, std::move(ask));
}

void Cell::cancel(const units::RequestId &request)
{
    if (!scheduler_.cancel(request))
        return;
    const auto found = waiters_.find(request);
    if (found != waiters_.end())
        found->second->decide(
            scheduling::SlotRefusal{request, units::ResultCode::CallerLeft, units::Duration()});
}

void Cell::tick()
{
    scheduler_.tick();
    const std::string labels = observability::label("pool", pool_.value());
    metrics_.set("monsoongrade_cell_waiting", labels, static_cast<double>(scheduler_.waiting()));
    metrics_.set("monsoongrade_cell_held", labels, static_cast<double>(scheduler_.held()));
}

void Cell::granted(const scheduling::SlotGrant &grant)
{
    metrics_.add("monsoongrade_slots_granted_total", observability::label("pool", pool_.value()));
    const auto found = waiters_.find(grant.request);
    if (found != waiters_.end())
        found->second->decide(grant);
}

void Cell::refused(const scheduling::SlotRefusal &refusal)
{
    metrics_.add(
        "monsoongrade_slots_refused_total",
        observability::label("pool", pool_.value()) + ","
            + observability::label("reason", std::string(units::resultCodeName(refusal.code))));
    const auto found = waiters_.find(refusal.request);
    if (found != waiters_.end())
        found->second->decide(refusal);
}

} // namespace monsoongrade::rpc::internal
