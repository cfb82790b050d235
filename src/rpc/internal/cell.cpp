#include <rpc/internal/cell.h>

#include <monsoongrade/observability/log.h>

#include <kj/debug.h>

#include <algorithm>
#include <vector>

namespace monsoongrade::rpc::internal {

// The place of one waiting call; lives as long as its promise.
class Cell::Waiter
{
public:
    Waiter(kj::PromiseFulfiller<SlotOutcome> &fulfiller, Cell &cell, const scheduling::SlotAsk &ask)
        : fulfiller_(fulfiller)
        , cell_(cell)
        , request_(ask.request)
        , session_(ask.router)
    {
        // A router that lost its connection asks again for the same request, maybe before this
        // side noticed. Both at once in the queue would give it two slots, one of them for ever.
        const auto earlier = cell_.waiters_.find(request_);
        if (earlier != cell_.waiters_.end()) {
            cell_.scheduler_.cancel(request_);
            earlier->second->decide(scheduling::SlotRefusal{request_, units::ResultCode::CallerLeft,
                                                            units::Duration()});
        }
        cell_.waiters_[request_] = this;
        cell_.uses_.add(session_);
        cell_.scheduler_.ask(ask);
    }

    ~Waiter()
    {
        if (decided_)
            return;
        leave();
        cell_.scheduler_.cancel(request_);
    }

    void decide(SlotOutcome outcome)
    {
        decided_ = true;
        leave();
        fulfiller_.fulfill(std::move(outcome));
    }

    // The session was ended: the call fails, and a router that lives connects again.
    void fail()
    {
        decided_ = true;
        leave();
        fulfiller_.reject(KJ_EXCEPTION(DISCONNECTED, "the session was ended"));
    }

    const units::DaemonId &session() const { return session_; }

private:
    void leave()
    {
        cell_.waiters_.erase(request_);
        cell_.uses_.remove(session_);
    }

    kj::PromiseFulfiller<SlotOutcome> &fulfiller_;
    Cell &cell_;
    units::RequestId request_;
    units::DaemonId session_;
    bool decided_ = false;
};

Cell::Cell(units::PoolName pool, const units::Clock &clock, observability::Metrics &metrics,
           units::Duration settlingTime)
    : pool_(std::move(pool))
    , clock_(clock)
    , metrics_(metrics)
    , settlingTime_(settlingTime)
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
    routerCount_ = fleet.liveEntryHosts().size();
    openIfSettled();
    const auto pool = configuration.pools.find(pool_);
    if (pool == configuration.pools.end())
        return;
    for (const auto &endpoint : pool->second.endpoints) {
        const bool hostLeaves = fleet.leavingEndpointHosts.count(endpoint.host) > 0;
        scheduler_.setLeaving(endpoint.id, hostLeaves || configuration.isDrained(endpoint));
    }
}

void Cell::attach(const units::DaemonId &session)
{
    attached_.insert(session);
    if (state_ == State::Closed) {
        state_ = State::Settling;
        opensAt_ = clock_.now() + settlingTime_;
        scheduler_.settleUntil(opensAt_);
    }
    openIfSettled();
}

void Cell::detach(const units::DaemonId &session)
{
    attached_.erase(session);
    if (attached_.empty())
        state_ = State::Closed;
}

void Cell::sessionEnded(const units::DaemonId &session)
{
    std::vector<std::pair<units::RequestId, Waiter *>> orphans;
    for (const auto &entry : waiters_) {
        if (entry.second->session() == session)
            orphans.emplace_back(entry);
    }
    for (const auto &[request, waiter] : orphans) {
        scheduler_.cancel(request);
        waiter->fail();
    }
    for (auto entry = held_.begin(); entry != held_.end();) {
        if (entry->second == session) {
            uses_.remove(session);
            entry = held_.erase(entry);
        } else {
            ++entry;
        }
    }
    detach(session);
    scheduler_.routerLost(session);
}

kj::Promise<SlotOutcome> Cell::ask(scheduling::SlotAsk ask)
{
    attach(ask.router);
    return kj::newAdaptedPromise<SlotOutcome, Waiter>(*this, ask);
}

void Cell::cancel(const units::DaemonId &session, const units::RequestId &request)
{
    const auto found = waiters_.find(request);
    if (found == waiters_.end() || found->second->session() != session
        || !scheduler_.cancel(request))
        return;
    found->second->decide(
        scheduling::SlotRefusal{request, units::ResultCode::CallerLeft, units::Duration()});
}

void Cell::release(const units::DaemonId &session, const scheduling::SlotRelease &release)
{
    const auto found = held_.find(release.grant);
    if (found == held_.end() || found->second != session)
        return;
    held_.erase(found);
    uses_.remove(session);
    scheduler_.release(release);
}

units::GrantId Cell::adopt(const scheduling::SlotAsk &ask, const units::EndpointId &endpoint)
{
    const units::GrantId grant = scheduler_.adopt(ask, endpoint);
    hold(grant, ask.router);
    return grant;
}

void Cell::moveAll()
{
    while (!waiters_.empty()) {
        Waiter *waiter = waiters_.begin()->second;
        scheduler_.cancel(waiters_.begin()->first);
        waiter->decide(Moved{});
    }
}

void Cell::tick()
{
    openIfSettled();
    scheduler_.tick();
}

void Cell::writeMetrics()
{
    const std::string labels = observability::label("pool", pool_.value());
    metrics_.set("monsoongrade_cell_waiting", labels, static_cast<double>(waiters_.size()));
    metrics_.set("monsoongrade_cell_held", labels, static_cast<double>(held_.size()));
    metrics_.set("monsoongrade_cell_routers", labels, static_cast<double>(attached_.size()));
}

void Cell::hold(units::GrantId grant, const units::DaemonId &session)
{
    held_[grant] = session;
    uses_.add(session);
}

void Cell::granted(const scheduling::SlotGrant &grant)
{
    metrics_.add("monsoongrade_slots_granted_total", observability::label("pool", pool_.value()));
    hold(grant.id, grant.router);
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

void Cell::openIfSettled()
{
    if (state_ != State::Settling)
        return;
    const units::TimePoint now = clock_.now();
    const bool allCame = routerCount_ > 0 && attached_.size() >= routerCount_;
    if (now < opensAt_ && !allCame)
        return;
    state_ = State::Open;
    scheduler_.settleUntil(now);
    scheduler_.tick();
    observability::log(observability::LogLevel::Info, "cell-opened",
                       {{"pool", pool_.value()},
                        {"routers", static_cast<std::int64_t>(attached_.size())},
                        {"adopted", static_cast<std::int64_t>(held_.size())}});
}

} // namespace monsoongrade::rpc::internal
