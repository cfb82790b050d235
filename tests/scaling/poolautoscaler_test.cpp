#include <monsoongrade/scaling/poolautoscaler.h>
#include <monsoongrade/scaling/preemptiblespread.h>
#include <monsoongrade/units/manualclock.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <list>
#include <set>

namespace monsoongrade::scaling {

namespace {

constexpr auto Tick = std::chrono::milliseconds(100);
constexpr auto PreemptionNotice = std::chrono::seconds(2);
const units::PoolName Pool("pool");
const std::vector<units::FailureDomain> Domains{
    units::FailureDomain("a"), units::FailureDomain("b"), units::FailureDomain("c")};

// Simulates a platform that fulfils orders after the boot time and preempts endpoints.
class PoolSimulation : public ScaledPools, public BaselineStore, public duties::DutyPlatform
{
public:
    explicit PoolSimulation(int ordinaryInEach)
    {
        scaled_.name = Pool;
        scaled_.scaling.minPerDomain = 1;
        scaled_.scaling.maxPerDomain = 60;
        scaled_.scaling.bootTime = std::chrono::seconds(4);
        scaled_.scaling.preemptiblePrice = 0.2;
        for (const units::FailureDomain &domain : Domains) {
            scaled_.scaling.prices[domain] = 1;
            scaled_.endpointCounts.domains[domain].ordinary.ready = ordinaryInEach;
        }
        startHolder();
    }

    void startHolder()
    {
        ++token_;
        ordering_
            = std::make_unique<PoolAutoscaler>(*this, policy_, *this, *this, metrics_, clock_);
    }

    void run(units::Duration duration)
    {
        const units::TimePoint end = clock_.now() + duration;
        while (clock_.now() < end) {
            clock_.advance(Tick);
            for (auto event = events_.begin(); event != events_.end();) {
                if (clock_.now() < event->first) {
                    ++event;
                    continue;
                }
                event->second();
                event = events_.erase(event);
            }
            ordering_->act(duties::FencingToken(token_));
            leastReady = std::min(leastReady, scaled_.endpointCounts.ready());
        }
    }

    // Drains all preemptible endpoints of the domain; none are available there for the duration.
    void preempt(const units::FailureDomain &domain, units::Duration duration)
    {
        EndpointCounts &kind = scaled_.endpointCounts.domains[domain].preemptible;
        kind.draining += kind.ready;
        kind.ready = 0;
        unavailableUntil_[domain] = clock_.now() + duration;
        after(PreemptionNotice,
              [this, domain] { scaled_.endpointCounts.domains[domain].preemptible.draining = 0; });
    }

    std::vector<ScaledPool> pools() const override { return {scaled_}; }
    bool isCurrent() const override { return isListCurrent; }

    void read(const units::PoolName &, BaselineStore::Done done) override
    {
        done(baseline_ ? Outcome::Stored : Outcome::Missing, baseline_.value_or(0));
    }
    void createOrRead(const units::PoolName &, int endpoints, BaselineStore::Done done) override
    {
        if (!baseline_)
            baseline_ = endpoints;
        done(Outcome::Stored, *baseline_);
    }

    void replace(const units::PoolName &, int endpoints, BaselineStore::Done done) override
    {
        baseline_ = endpoints;
        done(Outcome::Stored, endpoints);
    }

    void reportUsage(duties::FencingToken, duties::WindowNumber, const duties::UsageCounts &,
                     DutyPlatform::Done) override
    {
    }
    void orderWorkers(duties::FencingToken, const duties::WorkerOrder &order,
                      DutyPlatform::Done done) override
    {
        ++orders;
        if (isRejecting) {
            done(duties::CallOutcome::Rejected);
            return;
        }
        DomainEndpointCounts &domain = scaled_.endpointCounts.domains[order.domain];
        EndpointCounts &kind = order.preemptible ? domain.preemptible : domain.ordinary;
        if (order.preemptible && clock_.now() < unavailableUntil_[order.domain]
            && order.desired > kind.ready) {
            done(duties::CallOutcome::Unavailable);
            return;
        }
        kind.ready = std::min(kind.ready, order.desired);
        if (!isBootBroken && order.desired > kind.ready)
            after(scaled_.scaling.bootTime,
                  [&kind, desired = order.desired] { kind.ready = std::max(kind.ready, desired); });
        done(duties::CallOutcome::Accepted);
    }

    PoolEndpointCounts &endpointCounts() { return scaled_.endpointCounts; }
    int ordinary() const
    {
        int sum = 0;
        for (const auto &[domain, counts] : scaled_.endpointCounts.domains)
            sum += counts.ordinary.ready;
        return sum;
    }

    int orders = 0;
    int leastReady = 1000;
    bool isListCurrent = true;
    bool isRejecting = false;
    bool isBootBroken = false; // ordered endpoints never start

private:
    void after(units::Duration delay, std::function<void()> function)
    {
        events_.emplace_back(clock_.now() + delay, std::move(function));
    }

    units::ManualClock clock_;
    observability::Metrics metrics_;
    PreemptibleSpread policy_{{}};
    ScaledPool scaled_;
    std::optional<int> baseline_;
    std::map<units::FailureDomain, units::TimePoint> unavailableUntil_;
    std::list<std::pair<units::TimePoint, std::function<void()>>> events_;
    std::uint64_t token_ = 0;
    std::unique_ptr<PoolAutoscaler> ordering_;
};

} // namespace

TEST_SUITE_BEGIN("PoolAutoscaler");

TEST_CASE("PoolAutoscaler.ReplacesOrdinaryEndpointsWithoutLosingCapacity")
{
    PoolSimulation simulation(30);
    simulation.run(std::chrono::seconds(20));
    CHECK(simulation.ordinary() == 3);
    CHECK(simulation.leastReady >= 90);
    CHECK(simulation.orders <= 20);
}

// Guards against a pool that stays too small after preemptions in the middle of a burst.
TEST_CASE("PoolAutoscaler.RestoresCapacityAfterTheLossOfTwoDomainsInARow")
{
    PoolSimulation simulation(30);
    simulation.run(std::chrono::seconds(25));
    simulation.leastReady = 1000;
    simulation.preempt(Domains[0], std::chrono::seconds(10));
    simulation.run(std::chrono::seconds(1));
    // Replacements are ordered in other domains at once and start before the next loss.
    simulation.run(std::chrono::seconds(5));
    CHECK(simulation.endpointCounts().ready() >= 90);
    simulation.preempt(Domains[1], std::chrono::seconds(10));
    simulation.run(std::chrono::seconds(6));
    CHECK(simulation.leastReady >= 45);
    CHECK(simulation.endpointCounts().ready() >= 90);
    simulation.run(std::chrono::seconds(25));
    CHECK(simulation.endpointCounts().ready() >= 90);
    CHECK(simulation.ordinary() == 3);
}

// Guards against a flood of orders while the platform has no capacity.
TEST_CASE("PoolAutoscaler.OrdersRarelyWithoutPreemptibleCapacity")
{
    PoolSimulation simulation(30);
    simulation.run(std::chrono::seconds(25));
    simulation.preempt(Domains[0], std::chrono::seconds(30));
    simulation.run(std::chrono::seconds(6));
    simulation.orders = 0;
    simulation.run(std::chrono::seconds(12));
    CHECK(simulation.orders <= 8);
}

TEST_CASE("PoolAutoscaler.DelaysRetriesAfterRejectedCalls")
{
    PoolSimulation simulation(30);
    simulation.isRejecting = true;
    simulation.run(std::chrono::seconds(10));
    CHECK(simulation.orders <= 3 * 2 * 10);
    simulation.isRejecting = false;
    simulation.run(std::chrono::seconds(20));
    CHECK(simulation.ordinary() == 3);
}

// Guards against a new lease holder that considers existing endpoints superfluous.
TEST_CASE("PoolAutoscaler.ANewLeaseHolderKeepsThePoolUnchanged")
{
    PoolSimulation simulation(30);
    simulation.run(std::chrono::seconds(25));
    const int ready = simulation.endpointCounts().ready();
    simulation.orders = 0;
    simulation.leastReady = 1000;
    simulation.startHolder();
    simulation.run(std::chrono::seconds(20));
    CHECK(simulation.orders == 0);
    CHECK(simulation.leastReady == ready);
}

// Guards against orders based on an outdated list while the store is unavailable.
TEST_CASE("PoolAutoscaler.OrdersNothingWhileTheListIsOutdated")
{
    PoolSimulation simulation(30);
    simulation.run(std::chrono::seconds(25));
    const PoolEndpointCounts before = simulation.endpointCounts();
    simulation.orders = 0;
    simulation.isListCurrent = false;
    for (auto &[domain, counts] : simulation.endpointCounts().domains)
        counts.preemptible.ready /= 3;
    simulation.run(std::chrono::seconds(8));
    CHECK(simulation.orders == 0);
    // Entries that expired while the store was unavailable reappear shortly after it is back.
    simulation.isListCurrent = true;
    simulation.run(std::chrono::seconds(2));
    simulation.endpointCounts() = before;
    simulation.run(std::chrono::seconds(10));
    CHECK(simulation.orders == 0);
}

// Guards against removing ordinary endpoints whose replacements never started.
TEST_CASE("PoolAutoscaler.KeepsOrdinaryEndpointsUntilReplacementsStart")
{
    PoolSimulation simulation(30);
    simulation.isBootBroken = true;
    simulation.run(std::chrono::seconds(30));
    CHECK(simulation.ordinary() == 90);
    simulation.isBootBroken = false;
    simulation.run(std::chrono::seconds(30));
    CHECK(simulation.ordinary() == 3);
}

// Guards against a baseline that is set while endpoints are still registering.
TEST_CASE("PoolAutoscaler.SetsTheBaselineAfterAllEndpointsHaveRegistered")
{
    PoolSimulation simulation(1);
    for (int ready = 2; ready <= 30; ++ready) {
        for (auto &[domain, counts] : simulation.endpointCounts().domains)
            counts.ordinary.ready = ready;
        simulation.run(Tick);
    }
    simulation.run(std::chrono::seconds(20));
    CHECK(simulation.endpointCounts().ready() >= 90);
}

// Guards against a pool that shrinks to the few endpoints that registered long before the others.
TEST_CASE("PoolAutoscaler.AFewEarlyEndpointsDoNotLimitThePool")
{
    for (const int secondsLater : {2, 5, 12, 30}) {
        PoolSimulation simulation(1);
        simulation.run(std::chrono::seconds(secondsLater));
        for (auto &[domain, counts] : simulation.endpointCounts().domains)
            counts.ordinary.ready = 30;
        simulation.leastReady = 1000;
        simulation.run(std::chrono::seconds(30));
        CHECK(simulation.leastReady >= 90);
        CHECK(simulation.ordinary() == 3);
    }
}

TEST_SUITE_END();

} // namespace monsoongrade::scaling
