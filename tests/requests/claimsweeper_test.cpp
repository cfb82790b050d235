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

// The worst of all edges: the claimant's read of the epoch is stale by one, and the next epoch
// begins just after; every epoch is as short as may be, and claims are looked at as soon as one
// begins.
TEST_CASE("ClaimSweeper.RemovesNoClaimBeforeItsTimeAtTheEdgesOfEpochs")
{
    FaultyStore store;
    SweepFixture raising(store);
    raising.claim({});
    raising.claim({});
    raising.passEpochs(1);
    raising.clock.advance(raising.times.epoch() - std::chrono::seconds(10));
    SweepFixture claiming(store);
    store.staleReads = 1;
    claiming.claim({"k"});
    REQUIRE(claiming.claims.epoch().mark() + 1 == raising.claims.epoch().known()->number);
    const units::TimePoint begun = raising.clock.now();
    raising.run(std::chrono::seconds(12));
    while (raising.claimsLeft() > 0) {
        raising.passEpochs(1);
        SweepFixture looking(store);
        looking.run(std::chrono::seconds(1));
    }
    const units::Duration age = raising.clock.now() - begun;
    CHECK(age >= raising.times.kept + raising.times.sendWithin());
    CHECK(age <= raising.times.kept + 2 * raising.times.epoch());
}

// Two sweepers that raised the epoch as soon as they may write would make claims of an hour look a
// day old.
TEST_CASE("ClaimSweeper.EpochLastsItsTimeHoweverManySweep")
{
    FaultyStore store;
    SweepFixture first(store);
    SweepFixture second(store);
    for (int minute = 0; minute < 10 * 120; ++minute) {
        first.run(std::chrono::minutes(1));
        second.run(std::chrono::minutes(1));
    }
    const auto number = first.claims.epoch().known()->number;
    CHECK(number >= 9);
    CHECK(number <= 11);
}

// The store took an hour over the claim. The right to send is counted from before the call: the
// claim may have been written at its beginning.
TEST_CASE("ClaimSweeper.SlowStoreGivesNoMoreTimeToSend")
{
    FaultyStore store;
    SweepFixture fixture(store);
    const units::TimePoint begun = fixture.clock.now();
    store.beforeWrite = [&fixture] {
        fixture.clock.advance(std::chrono::hours(1));
    };
    const auto outcome = fixture.claims.claim("claims/000/w/k", {});
    REQUIRE(outcome.state == ClaimState::Taken);
    CHECK(outcome.sendBefore == begun + fixture.times.sendWithin());
    CHECK_FALSE(fixture.claims.maySend(outcome.sendBefore));
}

// A router's claim is written late, after it had given up, and the router is suspended for a day
// with the key in its memory. Its own claim is about to be removed; run under that one, the key
// would run again elsewhere an hour later.
TEST_CASE("ClaimSweeper.OwnEarlierClaimIsTakenAnewBeforeItIsRunUnder")
{
    CHECK(violationAfter<KeyedWorld>({{KeyedCommand::Sweep, 1, 0},
                                      {KeyedCommand::Sweep, 1, 0},
                                      {KeyedCommand::SetFault, 0, FaultyStore::Delayed},
                                      {KeyedCommand::Send, 0, 0},
                                      {KeyedCommand::Work, 0, 0},
                                      {KeyedCommand::SetFault, 0, FaultyStore::None},
                                      {KeyedCommand::Land, 0, 0},
                                      {KeyedCommand::PassEpochs, 1, 7},
                                      {KeyedCommand::RunKey, 0, 0},
                                      {KeyedCommand::PassEpochs, 1, 3},
                                      {KeyedCommand::RunKey, 1, 0}})
          == "");
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
        const auto of = [](int first, int end, int most) {
            return rc::gen::construct<KeyedCommand>(
                rc::gen::inRange(first, end), rc::gen::inRange(0, 3), rc::gen::inRange(0, most));
        };
        // A whole run of a key, as most are; the other commands break into it.
        const auto runs = rc::gen::construct<KeyedCommand>(
            rc::gen::just(static_cast<int>(KeyedCommand::RunKey)), rc::gen::inRange(0, 3),
            rc::gen::inRange(0, 2));
        const auto mended = rc::gen::just(KeyedCommand{KeyedCommand::SetFault, 0, 0});
        const auto command = rc::gen::weightedOneOf<KeyedCommand>(
            {{6, of(0, KeyedCommand::KindCount, 8)},
             {3, runs},
             {2, mended},
             {4, of(KeyedCommand::Sleep, KeyedCommand::SweepKindCount, 8)}});
        const auto commands
            = *rc::gen::resize(400, rc::gen::container<std::vector<KeyedCommand>>(command));
        const std::string broken = violationAfter<KeyedWorld>(commands);
        if (!broken.empty())
            RC_FAIL(broken);
    }));
}

} // namespace monsoongrade::requests
