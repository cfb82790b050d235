#include <requests/faultystore.h>
#include <requests/keyedworld.h>
#include <requests/violation.h>

#include <monsoongrade/units/manualclock.h>

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace monsoongrade::requests {

namespace {

const SweepShare All{0, 1};

struct SweepFixture
{
    explicit SweepFixture(FaultyStore &shared)
        : store(shared)
    {
    }

    // Claims with each name, as a router that knows the epoch would.
    void claim(const std::vector<std::string> &keys)
    {
        sweeper.step({});
        for (const std::string &key : keys) {
            const std::string name
                = claimName(units::WorkspaceName("w"), units::IdempotencyKey(key));
            claims.claim(name, {units::RequestId(key), units::DaemonId("a.router.1"), "f"});
        }
    }
    void run(units::Duration time)
    {
        const units::TimePoint end = clock.now() + time;
        while (clock.now() < end)
            clock.advance(sweeper.step(All));
    }
    // So many epochs go by in leaps, as long as the sweeper needs to see each.
    void passEpochs(std::uint64_t count)
    {
        for (std::uint64_t i = 0; i < count; ++i) {
            clock.advance(times.epoch());
            run(std::chrono::seconds(1));
        }
    }
    std::int64_t calls(const std::string &call) const
    {
        return metrics.counter("monsoongrade_claim_sweep_calls_total",
                               observability::label("call", call));
    }
    std::size_t claimsLeft() const
    {
        return store.objects.size() - store.objects.count(ClaimEpoch::ObjectName);
    }

    FaultyStore &store;
    units::ManualClock clock;
    observability::Metrics metrics;
    ClaimTimes times;
    ClaimStore claims{store, clock, metrics, times};
    ClaimSweeper sweeper{store, claims, clock, metrics, times, {0}, 0};
};

} // namespace

// A claim goes after its time, not before; a second sweeper at the same work does no harm.
TEST_CASE("ClaimSweeper.RemovesAClaimAfterItsTime")
{
    FaultyStore store;
    SweepFixture first(store);
    SweepFixture second(store);
    first.claim({});
    first.claim({"k"});
    first.passEpochs(12);
    CHECK(first.claimsLeft() == 1);
    for (int epoch = 0; epoch < 8; ++epoch) {
        first.passEpochs(1);
        second.run(std::chrono::seconds(2));
    }
    CHECK(first.claimsLeft() == 0);
    CHECK(first.metrics.counter("monsoongrade_claims_removed_total")
              + second.metrics.counter("monsoongrade_claims_removed_total")
          == 1);
}

// Thousands of claims are due after an outage, in the minute in which all callers come. Were they
// removed at once, new claims would find the store at its limit and be refused.
TEST_CASE("ClaimSweeper.RemovesAtABoundedRateAndGivesWayToClaims")
{
    FaultyStore store;
    SweepFixture fixture(store);
    fixture.claim({});
    std::vector<std::string> keys;
    keys.reserve(2500);
    for (int i = 0; i < 2500; ++i)
        keys.push_back("k" + std::to_string(i));
    fixture.claim(keys);
    fixture.passEpochs(14);
    store.fault = FaultyStore::Down;
    fixture.clock.advance(std::chrono::hours(30));
    fixture.run(std::chrono::minutes(5));
    store.fault = FaultyStore::None;
    fixture.run(std::chrono::minutes(3));
    const int before = store.writes;
    fixture.run(std::chrono::seconds(60));
    CHECK(store.writes - before > 300);
    CHECK(store.writes - before <= 376);

    // The store is down, as a claim has just found out.
    store.fault = FaultyStore::Down;
    fixture.claims.claim("claims/000/w/x", {});
    store.fault = FaultyStore::None;
    const int quiet = store.writes;
    fixture.run(std::chrono::milliseconds(900));
    CHECK(store.writes == quiet);
}

// A write that removes a claim is lost for now. Meanwhile another sweeper removes the claim, and a
// caller uses the key anew. The late removal must not take the new claim away.
TEST_CASE("ClaimSweeper.LateRemovalLeavesANewClaimOfTheKey")
{
    FaultyStore store;
    SweepFixture fixture(store);
    SweepFixture other(store);
    fixture.claim({});
    fixture.claim({"k"});
    other.claim({});
    // Neither lists in this time, since each waits for a third of the kept time between two lists.
    while (fixture.claims.epoch().known()->number < 1 + ClaimTimes::RemovableAfter)
        fixture.passEpochs(1);
    REQUIRE(fixture.claimsLeft() == 1);
    store.fault = FaultyStore::Delayed;
    fixture.passEpochs(5);
    CHECK(fixture.calls("remove") > 0);
    store.fault = FaultyStore::None;
    other.passEpochs(1);
    REQUIRE(fixture.claimsLeft() == 0);
    fixture.claim({"k"});
    store.land();
    CHECK(fixture.claimsLeft() == 1);
}

// The epoch can't be raised for a while, as when its reads stay behind. Claims that are old enough
// already must go all the same, or the store fills.
TEST_CASE("ClaimSweeper.EpochThatCannotBeRaisedDoesNotKeepRemovalsWaiting")
{
    FaultyStore store;
    SweepFixture fixture(store);
    fixture.claim({});
    fixture.claim({"k"});
    while (fixture.claims.epoch().known()->number < 1 + ClaimTimes::RemovableAfter)
        fixture.passEpochs(1);
    REQUIRE(fixture.claimsLeft() == 1);
    // Somebody else has written the object; reads answer what was there before.
    store.updateIfVersion(ClaimEpoch::ObjectName, store.objects[ClaimEpoch::ObjectName].version,
                          "17");
    store.staleReads = 1000000;
    fixture.passEpochs(5);
    CHECK(fixture.claimsLeft() == 0);
}

// A router reads no epoch for hours, as in an outage of reads only. A claim that it marked with
// the last number it knew would be removed before its time, and a repeat would run again.
TEST_CASE("ClaimSweeper.ClaimWithoutAKnownEpochIsKeptItsWholeTime")
{
    FaultyStore store;
    SweepFixture sweeping(store);
    SweepFixture claiming(store);
    claiming.claim({});
    claiming.claim({});
    sweeping.passEpochs(14);
    claiming.clock.advance(std::chrono::hours(28));
    claiming.claims.claim(claimName(units::WorkspaceName("w"), units::IdempotencyKey("k")),
                          {units::RequestId("r"), units::DaemonId("a.router.1"), "f"});
    sweeping.passEpochs(13);
    CHECK(sweeping.claimsLeft() == 1);
    sweeping.passEpochs(12);
    CHECK(sweeping.claimsLeft() == 0);
}

// A router claims a key and is stopped before its request leaves. A day and more later the claim is
// gone, and another router has run the key anew. The first wakes up with the request in its hand.
TEST_CASE("ClaimSweeper.RouterThatWakesAfterItsClaimWentSendsNothing")
{
    CHECK(violationAfter<KeyedWorld>({{KeyedCommand::Sweep, 0, 0},
                                      {KeyedCommand::Sweep, 0, 0},
                                      {KeyedCommand::Send, 0, 0},
                                      {KeyedCommand::Work, 0, 0},
                                      {KeyedCommand::Grant, 0, 0},
                                      {KeyedCommand::PassEpochs, 1, 8},
                                      {KeyedCommand::PassEpochs, 1, 8},
                                      {KeyedCommand::Send, 1, 0},
                                      {KeyedCommand::Work, 1, 0},
                                      {KeyedCommand::Grant, 1, 0},
                                      {KeyedCommand::Run, 1, 0},
                                      {KeyedCommand::Run, 0, 0}})
          == "");
}

// Three routers whose clocks differ, which freeze, restart and sweep at once; a store that is
// down, loses replies, applies writes late and answers stale reads. Any two runs of one key must
// begin at least the kept time apart.
TEST_CASE("ClaimSweeper.KeyRunsAtMostOnceWithinTheKeptTime")
{
    CHECK(rc::check([] {
        const auto kind = rc::gen::weightedOneOf<int>(
            {{4, rc::gen::inRange(0, static_cast<int>(KeyedCommand::KindCount))},
             {3,
              rc::gen::elementOf(std::vector<int>{KeyedCommand::Send, KeyedCommand::Work,
                                                  KeyedCommand::Grant, KeyedCommand::Run})},
             {2,
              rc::gen::inRange(static_cast<int>(KeyedCommand::Sleep),
                               static_cast<int>(KeyedCommand::SweepKindCount))}});
        const auto command = rc::gen::construct<KeyedCommand>(kind, rc::gen::inRange(0, 3),
                                                              rc::gen::inRange(0, 8));
        const auto commands
            = *rc::gen::resize(400, rc::gen::container<std::vector<KeyedCommand>>(command));
        const std::string broken = violationAfter<KeyedWorld>(commands);
        if (!broken.empty())
            RC_FAIL(broken);
    }));
}

} // namespace monsoongrade::requests
