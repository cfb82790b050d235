#include <monsoongrade/scaling/poolautoscaler.h>

#include <monsoongrade/observability/log.h>

#include <algorithm>

namespace monsoongrade::scaling {

namespace {

// A pool is scaled down only after fewer endpoints have been wanted for this long, because an entry
// may be missing from the list for a moment.
constexpr auto ShrinkDelay = std::chrono::seconds(1);
// Added to the boot time of an endpoint before an order counts as not fulfilled.
constexpr auto BootTimeMargin = std::chrono::seconds(2);
constexpr auto RetryPause = std::chrono::milliseconds(500);
// Delay before the next order where the platform had no capacity.
constexpr auto UnavailablePause = std::chrono::seconds(3);
// Time until endpoints that started together, or whose entries expired while the store was
// unavailable, are all listed.
constexpr auto ListSettleTime = std::chrono::seconds(3);

std::string metricLabels(const ScaledPool &scaled, const units::FailureDomain &domain,
                         const std::string &kind)
{
    return observability::label("pool", scaled.name.value()) + ","
        + observability::label("domain", domain.value()) + "," + observability::label("kind", kind);
}

} // namespace

PoolAutoscaler::PoolAutoscaler(const ScaledPools &pools, const SizingPolicy &policy,
                               BaselineStore &baselines, duties::DutyPlatform &platform,
                               observability::Metrics &metrics, const units::Clock &clock)
    : pools_(pools)
    , policy_(policy)
    , baselines_(baselines)
    , platform_(platform)
    , metrics_(metrics)
    , clock_(clock)
{
}

void PoolAutoscaler::act(duties::FencingToken token)
{
    const units::TimePoint now = clock_.now();
    if (lastToken_ != token) {
        // Since this host last held the lease, other holders may have sent orders.
        lastToken_ = token;
        poolStates_.clear();
    }
    if (!pools_.isCurrent()) {
        mayDecideFrom_ = now + ListSettleTime;
        return;
    }
    if (isOrderCallOpen_ || now < mayDecideFrom_)
        return;
    for (const ScaledPool &scaled : pools_.pools()) {
        PoolState &pool = poolStates_[scaled.name];
        if (pool.baseline)
            raiseBaseline(scaled, pool);
        else
            fetchBaseline(scaled, pool);
        const bool isSizeKnown = pool.baseline || pool.maxSeen > 0;
        if (isSizeKnown && orderNext(scaled, pool, token))
            return;
    }
}

// While the baseline is unknown, all endpoints seen so far count as needed.
int PoolAutoscaler::neededEndpoints(const PoolState &pool)
{
    return std::max(pool.baseline.value_or(0), pool.maxSeen);
}

void PoolAutoscaler::fetchBaseline(const ScaledPool &scaled, PoolState &pool)
{
    const units::TimePoint now = clock_.now();
    if (isBaselineCallOpen_ || now < baselineRetryAt_)
        return;
    if (!pool.isBaselineMissing) {
        isBaselineCallOpen_ = true;
        baselines_.read(scaled.name, baselineCallback(scaled.name));
        return;
    }
    updateMaxSeen(scaled, pool, now);
    const bool isSettled = pool.maxSeen > 0 && now >= pool.maxSeenAt + ListSettleTime
        && now >= pool.firstSeenAt + scaled.scaling.bootTime + units::Duration(BootTimeMargin);
    if (isSettled) {
        isBaselineCallOpen_ = true;
        baselines_.createOrRead(scaled.name, pool.maxSeen, baselineCallback(scaled.name));
    }
}

BaselineStore::Done PoolAutoscaler::baselineCallback(const units::PoolName &name)
{
    return [this, name, alive = std::weak_ptr<bool>(alive_)](BaselineStore::Outcome outcome,
                                                             int endpoints) {
        if (alive.expired())
            return;
        isBaselineCallOpen_ = false;
        onBaseline(name, outcome, endpoints);
    };
}

// This duty never orders more ordinary endpoints than the baseline, so the operator added those
// beyond it. Takes effect at once, so that a baseline read too early can't shrink the pool.
void PoolAutoscaler::raiseBaseline(const ScaledPool &scaled, PoolState &pool)
{
    int ordinary = 0;
    for (const auto &[domain, counts] : scaled.endpointCounts.domains)
        ordinary += counts.ordinary.ready;
    pool.maxSeen = std::max(pool.maxSeen, ordinary);
    if (pool.maxSeen <= *pool.baseline || isBaselineCallOpen_ || clock_.now() < baselineRetryAt_)
        return;
    isBaselineCallOpen_ = true;
    baselines_.replace(scaled.name, pool.maxSeen, baselineCallback(scaled.name));
}

void PoolAutoscaler::updateMaxSeen(const ScaledPool &scaled, PoolState &pool, units::TimePoint now)
{
    int ordinary = 0;
    int preemptible = 0;
    for (const auto &[domain, counts] : scaled.endpointCounts.domains) {
        ordinary += counts.ordinary.ready;
        preemptible += counts.preemptible.ready;
    }
    if (!pool.initialPreemptible)
        pool.initialPreemptible = preemptible;
    const int seen = ordinary + std::min(preemptible, *pool.initialPreemptible);
    if (pool.maxSeen == 0)
        pool.firstSeenAt = now;
    if (seen > pool.maxSeen) {
        pool.maxSeen = seen;
        pool.maxSeenAt = now;
    }
}

void PoolAutoscaler::onBaseline(const units::PoolName &name, BaselineStore::Outcome outcome,
                                int endpoints)
{
    PoolState &pool = poolStates_[name];
    switch (outcome) {
    case BaselineStore::Outcome::Stored:
        pool.baseline = endpoints;
        observability::log(observability::LogLevel::Info, "pool-baseline",
                           {{"pool", name.value()}, {"endpoints", endpoints}});
        break;
    case BaselineStore::Outcome::Missing:
        pool.isBaselineMissing = true;
        break;
    case BaselineStore::Outcome::Unknown:
        baselineRetryAt_ = clock_.now() + RetryPause;
        break;
    }
}

// If all preemptible endpoints of a domain are draining, the whole domain was preempted.
void PoolAutoscaler::detectPreemption(const ScaledPool &scaled, PoolState &pool)
{
    for (const auto &[domain, counts] : scaled.endpointCounts.domains) {
        if (counts.preemptible.ready > 0)
            pool.preemptibleUnavailableUntil.erase(domain);
        else if (counts.preemptible.draining > 0)
            pool.preemptibleUnavailableUntil[domain] = clock_.now() + UnavailablePause;
    }
}

bool PoolAutoscaler::orderNext(const ScaledPool &scaled, PoolState &pool,
                               duties::FencingToken token)
{
    const units::TimePoint now = clock_.now();
    detectPreemption(scaled, pool);
    SizingInput input{scaled.scaling, scaled.endpointCounts, neededEndpoints(pool), {}};
    for (const auto &[domain, until] : pool.preemptibleUnavailableUntil) {
        if (now < until)
            input.preemptibleUnavailable.insert(domain);
    }
    const PoolSize size = policy_.decide(input);
    updateGauges(scaled, size);
    for (const auto &[domain, wanted] : size) {
        const auto found = scaled.endpointCounts.domains.find(domain);
        const DomainEndpointCounts counts
            = found == scaled.endpointCounts.domains.end() ? DomainEndpointCounts() : found->second;
        // Without preemptible capacity in the domain there is no order to send or to cancel.
        if (input.preemptibleUnavailable.count(domain) == 0
            && isDue(scaled, pool.orders[{domain, true}], wanted.preemptible,
                     counts.preemptible.ready)) {
            send(scaled, {domain, true}, wanted.preemptible, counts.preemptible.ready, token);
            return true;
        }
        if (isDue(scaled, pool.orders[{domain, false}], wanted.ordinary, counts.ordinary.ready)) {
            send(scaled, {domain, false}, wanted.ordinary, counts.ordinary.ready, token);
            return true;
        }
    }
    return false;
}

bool PoolAutoscaler::isDue(const ScaledPool &scaled, OrderState &state, int wanted, int ready)
{
    const units::TimePoint now = clock_.now();
    const bool mayShrink = poolStates_[scaled.name].baseline.has_value();
    const int currentTarget = state.ordered.value_or(ready);
    if (wanted >= currentTarget)
        state.shrinkWantedSince.reset();
    if (now < state.retryAt)
        return false;
    if (wanted > currentTarget)
        return true;
    const units::Duration startTime = scaled.scaling.bootTime + units::Duration(BootTimeMargin);
    if (wanted == currentTarget)
        return state.ordered && ready < wanted && now >= state.orderedAt + startTime;
    if (!mayShrink)
        return false;
    if (!state.shrinkWantedSince)
        state.shrinkWantedSince = now;
    // Endpoints that this host ordered get the time to start first.
    const units::Duration delay = state.ordered ? startTime : units::Duration(ShrinkDelay);
    return now >= *state.shrinkWantedSince + delay;
}

void PoolAutoscaler::send(const ScaledPool &scaled, const DomainAndKind &key, int wanted, int ready,
                          duties::FencingToken token)
{
    const duties::WorkerOrder order{scaled.name, key.first, key.second, wanted};
    isOrderCallOpen_ = true;
    platform_.orderWorkers(
        token, order,
        [this, order, ready, token, needed = neededEndpoints(poolStates_[scaled.name]),
         alive = std::weak_ptr<bool>(alive_)](duties::CallOutcome outcome) {
            if (alive.expired())
                return;
            isOrderCallOpen_ = false;
            observability::log(observability::LogLevel::Info, "workers-ordered",
                               {{"pool", order.pool.value()},
                                {"domain", order.domain.value()},
                                {"kind", order.preemptible ? "preemptible" : "ordinary"},
                                {"desired", order.desired},
                                {"ready", ready},
                                {"needed", needed},
                                {"token", token.value()},
                                {"outcome", duties::callOutcomeName(outcome)}});
            metrics_.add("monsoongrade_gateway_worker_orders_total",
                         observability::label("outcome", duties::callOutcomeName(outcome)));
            onOutcome(order, outcome);
        });
}

void PoolAutoscaler::onOutcome(const duties::WorkerOrder &order, duties::CallOutcome outcome)
{
    const units::TimePoint now = clock_.now();
    PoolState &pool = poolStates_[order.pool];
    OrderState &state = pool.orders[{order.domain, order.preemptible}];
    switch (outcome) {
    case duties::CallOutcome::Accepted:
        state.ordered = order.desired;
        state.orderedAt = now;
        state.shrinkWantedSince.reset();
        break;
    case duties::CallOutcome::Unavailable:
        state.retryAt = now + UnavailablePause;
        if (order.preemptible)
            pool.preemptibleUnavailableUntil[order.domain] = state.retryAt;
        break;
    case duties::CallOutcome::Rejected:
    case duties::CallOutcome::NoAnswer:
        state.retryAt = now + RetryPause;
        break;
    }
}

void PoolAutoscaler::updateGauges(const ScaledPool &scaled, const PoolSize &size)
{
    const auto setGauges = [&](const units::FailureDomain &domain, const std::string &kind,
                               const EndpointCounts &counts, int desired) {
        const std::string labels = metricLabels(scaled, domain, kind);
        metrics_.set("monsoongrade_gateway_workers_desired", labels, desired);
        metrics_.set("monsoongrade_gateway_workers_ready", labels, counts.ready);
        metrics_.set("monsoongrade_gateway_workers_draining", labels, counts.draining);
    };
    for (const auto &[domain, wanted] : size) {
        const auto found = scaled.endpointCounts.domains.find(domain);
        const DomainEndpointCounts counts
            = found == scaled.endpointCounts.domains.end() ? DomainEndpointCounts() : found->second;
        setGauges(domain, "ordinary", counts.ordinary, wanted.ordinary);
        setGauges(domain, "preemptible", counts.preemptible, wanted.preemptible);
    }
}

} // namespace monsoongrade::scaling
