#include <monsoongrade/scaling/poolautoscaler.h>

#include <monsoongrade/observability/log.h>

#include <algorithm>

namespace monsoongrade::scaling {

namespace {

// Fewer endpoints are ordered only when fewer have been wanted for this long: an entry of the list
// may be missing for a moment.
constexpr auto ShrinkDelay = std::chrono::seconds(1);
// Added to the time that an endpoint takes to start, before an order counts as not served.
constexpr auto BootSlack = std::chrono::seconds(2);
constexpr auto RetryPause = std::chrono::milliseconds(500);
// Until preemptible endpoints are asked for again where none were to be had.
constexpr auto UnavailablePause = std::chrono::seconds(3);
// Endpoints that start together, or whose entries lapsed while the store was away, are all listed
// after this time.
constexpr auto ListSettleTime = std::chrono::seconds(3);

std::string labelsOf(const ScaledPool &scaled, const units::FailureDomain &domain,
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
    if (heldToken_ != token) {
        // Orders of others may have followed those of an earlier time as the holder.
        heldToken_ = token;
        known_.clear();
    }
    if (!pools_.isCurrent()) {
        mayDecideFrom_ = now + ListSettleTime;
        return;
    }
    if (isOrdering_ || now < mayDecideFrom_)
        return;
    for (const ScaledPool &scaled : pools_.pools()) {
        Pool &pool = known_[scaled.name];
        if (pool.baseline)
            raiseBaseline(scaled, pool);
        else
            askBaseline(scaled, pool);
        const bool isSizeKnown = pool.baseline || pool.mostSeen > 0;
        if (isSizeKnown && orderOne(scaled, pool, token))
            return;
    }
}

// Until the size that the operator gave the pool is known, all that were seen.
int PoolAutoscaler::neededOf(const Pool &pool)
{
    return std::max(pool.baseline.value_or(0), pool.mostSeen);
}

void PoolAutoscaler::askBaseline(const ScaledPool &scaled, Pool &pool)
{
    const units::TimePoint now = clock_.now();
    if (isAskingBaseline_ || now < askBaselineAgainAt_)
        return;
    if (!pool.isBaselineMissing) {
        isAskingBaseline_ = true;
        baselines_.read(scaled.name, baselineDone(scaled.name));
        return;
    }
    countSeen(scaled, pool, now);
    const bool isKnownFleetWide = pool.mostSeen > 0 && now >= pool.mostSeenAt + ListSettleTime
        && now >= pool.firstSeenAt + scaled.scaling.bootTime + units::Duration(BootSlack);
    if (isKnownFleetWide) {
        isAskingBaseline_ = true;
        baselines_.createOrRead(scaled.name, pool.mostSeen, baselineDone(scaled.name));
    }
}

BaselineStore::Done PoolAutoscaler::baselineDone(const units::PoolName &name)
{
    return [this, name, alive = std::weak_ptr<bool>(alive_)](BaselineStore::Outcome outcome,
                                                             int endpoints) {
        if (alive.expired())
            return;
        isAskingBaseline_ = false;
        onBaseline(name, outcome, endpoints);
    };
}

// No more ordinary endpoints than the baseline are ever ordered, so those beyond it are the
// operator's. Counts at once: a pool must not shrink to a size that was read too early.
void PoolAutoscaler::raiseBaseline(const ScaledPool &scaled, Pool &pool)
{
    int ordinary = 0;
    for (const auto &[domain, endpointCounts] : scaled.endpointCounts.domains)
        ordinary += endpointCounts.ordinary.ready;
    pool.mostSeen = std::max(pool.mostSeen, ordinary);
    if (pool.mostSeen <= *pool.baseline || isAskingBaseline_ || clock_.now() < askBaselineAgainAt_)
        return;
    isAskingBaseline_ = true;
    baselines_.replace(scaled.name, pool.mostSeen, baselineDone(scaled.name));
}

void PoolAutoscaler::countSeen(const ScaledPool &scaled, Pool &pool, units::TimePoint now)
{
    int ordinary = 0;
    int preemptible = 0;
    for (const auto &[domain, endpointCounts] : scaled.endpointCounts.domains) {
        ordinary += endpointCounts.ordinary.ready;
        preemptible += endpointCounts.preemptible.ready;
    }
    if (!pool.preemptibleAtFirst)
        pool.preemptibleAtFirst = preemptible;
    const int seen = ordinary + std::min(preemptible, *pool.preemptibleAtFirst);
    if (pool.mostSeen == 0)
        pool.firstSeenAt = now;
    if (seen > pool.mostSeen) {
        pool.mostSeen = seen;
        pool.mostSeenAt = now;
    }
}

void PoolAutoscaler::onBaseline(const units::PoolName &name, BaselineStore::Outcome outcome,
                                int endpoints)
{
    Pool &pool = known_[name];
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
        askBaselineAgainAt_ = clock_.now() + RetryPause;
        break;
    }
}

// A domain whose preemptible endpoints are all leaving was preempted as a whole.
void PoolAutoscaler::notePreemption(const ScaledPool &scaled, Pool &pool)
{
    for (const auto &[domain, endpointCounts] : scaled.endpointCounts.domains) {
        if (endpointCounts.preemptible.ready > 0)
            pool.withoutPreemptibleUntil.erase(domain);
        else if (endpointCounts.preemptible.draining > 0)
            pool.withoutPreemptibleUntil[domain] = clock_.now() + UnavailablePause;
    }
}

bool PoolAutoscaler::orderOne(const ScaledPool &scaled, Pool &pool, duties::FencingToken token)
{
    const units::TimePoint now = clock_.now();
    notePreemption(scaled, pool);
    SizingInput input{scaled.scaling, scaled.endpointCounts, neededOf(pool), {}};
    for (const auto &[domain, until] : pool.withoutPreemptibleUntil) {
        if (now < until)
            input.preemptibleUnavailable.insert(domain);
    }
    const PoolSize size = policy_.decide(input);
    noteGauges(scaled, size);
    for (const auto &[domain, wanted] : size) {
        const auto found = scaled.endpointCounts.domains.find(domain);
        const DomainEndpointCounts endpointCounts
            = found == scaled.endpointCounts.domains.end() ? DomainEndpointCounts() : found->second;
        // Where none are to be had there is nothing to cancel either.
        if (input.preemptibleUnavailable.count(domain) == 0
            && isDue(scaled, pool.subjects[{domain, true}], wanted.preemptible,
                     endpointCounts.preemptible.ready)) {
            send(scaled, {domain, true}, wanted.preemptible, endpointCounts.preemptible.ready,
                 token);
            return true;
        }
        if (isDue(scaled, pool.subjects[{domain, false}], wanted.ordinary,
                  endpointCounts.ordinary.ready)) {
            send(scaled, {domain, false}, wanted.ordinary, endpointCounts.ordinary.ready, token);
            return true;
        }
    }
    return false;
}

bool PoolAutoscaler::isDue(const ScaledPool &scaled, Subject &subject, int wanted, int ready)
{
    const units::TimePoint now = clock_.now();
    const bool mayShrink = known_[scaled.name].baseline.has_value();
    const int inForce = subject.ordered.value_or(ready);
    if (wanted >= inForce)
        subject.fewerWantedSince.reset();
    if (now < subject.callAgainAt)
        return false;
    if (wanted > inForce)
        return true;
    const units::Duration startTime = scaled.scaling.bootTime + units::Duration(BootSlack);
    if (wanted == inForce)
        return subject.ordered && ready < wanted && now >= subject.orderedAt + startTime;
    if (!mayShrink)
        return false;
    if (!subject.fewerWantedSince)
        subject.fewerWantedSince = now;
    // What was ordered here has to start first.
    const units::Duration delay = subject.ordered ? startTime : units::Duration(ShrinkDelay);
    return now >= *subject.fewerWantedSince + delay;
}

void PoolAutoscaler::send(const ScaledPool &scaled, const SubjectKey &key, int wanted, int ready,
                          duties::FencingToken token)
{
    const duties::WorkerOrder order{scaled.name, key.first, key.second, wanted};
    isOrdering_ = true;
    platform_.orderWorkers(
        token, order,
        [this, order, ready, token, needed = neededOf(known_[scaled.name]),
         alive = std::weak_ptr<bool>(alive_)](duties::CallOutcome outcome) {
            if (alive.expired())
                return;
            isOrdering_ = false;
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
    Pool &pool = known_[order.pool];
    Subject &subject = pool.subjects[{order.domain, order.preemptible}];
    switch (outcome) {
    case duties::CallOutcome::Accepted:
        subject.ordered = order.desired;
        subject.orderedAt = now;
        subject.fewerWantedSince.reset();
        break;
    case duties::CallOutcome::Unavailable:
        subject.callAgainAt = now + UnavailablePause;
        if (order.preemptible)
            pool.withoutPreemptibleUntil[order.domain] = subject.callAgainAt;
        break;
    case duties::CallOutcome::Rejected:
    case duties::CallOutcome::NoAnswer:
        subject.callAgainAt = now + RetryPause;
        break;
    }
}

void PoolAutoscaler::noteGauges(const ScaledPool &scaled, const PoolSize &size)
{
    const auto note = [&](const units::FailureDomain &domain, const std::string &kind,
                          const EndpointCounts &endpointCounts, int desired) {
        const std::string labels = labelsOf(scaled, domain, kind);
        metrics_.set("monsoongrade_gateway_workers_desired", labels, desired);
        metrics_.set("monsoongrade_gateway_workers_ready", labels, endpointCounts.ready);
        metrics_.set("monsoongrade_gateway_workers_draining", labels, endpointCounts.draining);
    };
    for (const auto &[domain, wanted] : size) {
        const auto found = scaled.endpointCounts.domains.find(domain);
        const DomainEndpointCounts endpointCounts
            = found == scaled.endpointCounts.domains.end() ? DomainEndpointCounts() : found->second;
        note(domain, "ordinary", endpointCounts.ordinary, wanted.ordinary);
        note(domain, "preemptible", endpointCounts.preemptible, wanted.preemptible);
    }
}

} // namespace monsoongrade::scaling
