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
constexpr auto Notice = std::chrono::seconds(2);
const units::PoolName Pool("pool");
const std::vector<units::FailureDomain> Domains{
    units::FailureDomain("a"), units::FailureDomain("b"), units::FailureDomain("c")};

// A platform that serves orders after the boot time and takes preemptible endpoints away.
class PoolWorld : public ScaledPools, public BaselineStore, public duties::DutyPlatform
{
public:
    explicit PoolWorld(int ordinaryInEach)
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

    // All preemptible endpoints of the domain leave, and none are to be had there for a time.
    void preempt(const units::FailureDomain &domain, units::Duration noneFor)
    {
        EndpointCounts &kind = scaled_.endpointCounts.domains[domain].preemptible;
        kind.draining += kind.ready;
        kind.ready = 0;
        noneUntil_[domain] = clock_.now() + noneFor;
        after(Notice,
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
        if (order.preemptible && clock_.now() < noneUntil_[order.domain]
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
        for (const auto &[domain, endpointCounts] : scaled_.endpointCounts.domains)
            sum += endpointCounts.ordinary.ready;
        return sum;
    }

    int orders = 0;
    int leastReady = 1000;
    bool isListCurrent = true;
    bool isRejecting = false;
    bool isBootBroken = false; // ordered endpoints never come

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
    std::map<units::FailureDomain, units::TimePoint> noneUntil_;
    std::list<std::pair<units::TimePoint, std::function<void()>>> events_;
    std::uint64_t token_ = 0;
    std::unique_ptr<PoolAutoscaler> ordering_;
};

} // namespace

TEST_SUITE_BEGIN("WorkerOrdering");

TEST_CASE("PoolAutoscaler.ReplacesOrdinaryEndpointsWithoutAGap")
{
    PoolWorld world(30);
    world.run(std::chrono::seconds(20));
    CHECK(world.ordinary() == 3);
    CHECK(world.leastReady >= 90);
    CHECK(world.orders <= 20);
}

// Guards against a pool that stays small after preemptions in the middle of a burst.
TEST_CASE("PoolAutoscaler.BearsTheLossOfTwoDomainsInARow")
{
    PoolWorld world(30);
    world.run(std::chrono::seconds(25));
    world.leastReady = 1000;
    world.preempt(Domains[0], std::chrono::seconds(10));
    world.run(std::chrono::seconds(1));
    // Ordered elsewhere at once: there before the next loss.
    world.run(std::chrono::seconds(5));
    CHECK(world.endpointCounts().ready() >= 90);
    world.preempt(Domains[1], std::chrono::seconds(10));
    world.run(std::chrono::seconds(6));
    CHECK(world.leastReady >= 45);
    CHECK(world.endpointCounts().ready() >= 90);
    world.run(std::chrono::seconds(25));
    CHECK(world.endpointCounts().ready() >= 90);
    CHECK(world.ordinary() == 3);
}

// Guards against a storm of orders where nothing is to be had.
TEST_CASE("PoolAutoscaler.AsksSeldomWhereNoPreemptibleEndpointsAreToBeHad")
{
    PoolWorld world(30);
    world.run(std::chrono::seconds(25));
    world.preempt(Domains[0], std::chrono::seconds(30));
    world.run(std::chrono::seconds(6));
    world.orders = 0;
    world.run(std::chrono::seconds(12));
    CHECK(world.orders <= 8);
}

TEST_CASE("PoolAutoscaler.PausesAfterARejectedCall")
{
    PoolWorld world(30);
    world.isRejecting = true;
    world.run(std::chrono::seconds(10));
    CHECK(world.orders <= 3 * 2 * 10);
    world.isRejecting = false;
    world.run(std::chrono::seconds(20));
    CHECK(world.ordinary() == 3);
}

// Guards against a new holder that takes what it finds for too much.
TEST_CASE("PoolAutoscaler.ANewHolderChangesNothing")
{
    PoolWorld world(30);
    world.run(std::chrono::seconds(25));
    const int ready = world.endpointCounts().ready();
    world.orders = 0;
    world.leastReady = 1000;
    world.startHolder();
    world.run(std::chrono::seconds(20));
    CHECK(world.orders == 0);
    CHECK(world.leastReady == ready);
}

// Guards against orders by a list that the store could not bring up to date.
TEST_CASE("PoolAutoscaler.OrdersNothingByAnOutdatedList")
{
    PoolWorld world(30);
    world.run(std::chrono::seconds(25));
    const PoolEndpointCounts before = world.endpointCounts();
    world.orders = 0;
    world.isListCurrent = false;
    for (auto &[domain, endpointCounts] : world.endpointCounts().domains)
        endpointCounts.preemptible.ready /= 3;
    world.run(std::chrono::seconds(8));
    CHECK(world.orders == 0);
    // Entries that lapsed with the store come back a moment after it.
    world.isListCurrent = true;
    world.run(std::chrono::seconds(2));
    world.endpointCounts() = before;
    world.run(std::chrono::seconds(10));
    CHECK(world.orders == 0);
}

// Guards against ordinary endpoints that go although those in their place never started.
TEST_CASE("PoolAutoscaler.KeepsOrdinaryEndpointsWhileOthersDoNotStart")
{
    PoolWorld world(30);
    world.isBootBroken = true;
    world.run(std::chrono::seconds(30));
    CHECK(world.ordinary() == 90);
    world.isBootBroken = false;
    world.run(std::chrono::seconds(30));
    CHECK(world.ordinary() == 3);
}

// Guards against a baseline taken while endpoints still register.
TEST_CASE("PoolAutoscaler.TakesTheOperatorsSizeWhenAllHaveRegistered")
{
    PoolWorld world(1);
    for (int ready = 2; ready <= 30; ++ready) {
        for (auto &[domain, endpointCounts] : world.endpointCounts().domains)
            endpointCounts.ordinary.ready = ready;
        world.run(Tick);
    }
    world.run(std::chrono::seconds(20));
    CHECK(world.endpointCounts().ready() >= 90);
}

// Guards against a pool that shrinks to the few endpoints that registered long before the others.
TEST_CASE("PoolAutoscaler.AFewEarlyEndpointsAreNotTakenForThePool")
{
    for (const int secondsLater : {2, 5, 12, 30}) {
        PoolWorld world(1);
        world.run(std::chrono::seconds(secondsLater));
        for (auto &[domain, endpointCounts] : world.endpointCounts().domains)
            endpointCounts.ordinary.ready = 30;
        world.leastReady = 1000;
        world.run(std::chrono::seconds(30));
        CHECK(world.leastReady >= 90);
        CHECK(world.ordinary() == 3);
    }
}

TEST_SUITE_END();

} // namespace monsoongrade::scaling
