#include <scheduling/cellfixture.h>

#include <doctest/doctest.h>

namespace monsoongrade::scheduling {

namespace {

using Fixture = CellFixture;
using units::EndpointId;
using units::RequestId;

} // namespace

TEST_CASE_FIXTURE(Fixture, "CellScheduler.GrantsAtOnceWhileASlotIsFree")
{
    ask("a", "low");
    REQUIRE(sink.grants.size() == 1);
    CHECK(sink.grants[0].request == RequestId("a"));
    CHECK(sink.grants[0].endpoint == EndpointId("engine"));
}

// A low request came first and waits; a high one that comes later still goes before it.
TEST_CASE_FIXTURE(Fixture, "CellScheduler.HigherTierGoesFirst")
{
    ask("running", "low");
    ask("low", "low");
    ask("high", "high");
    releaseLast();
    REQUIRE(sink.grants.size() == 2);
    CHECK(sink.grants[1].request == RequestId("high"));
}

TEST_CASE_FIXTURE(Fixture, "CellScheduler.FullQueueShedsTheLowestTierFirst")
{
    policy.queueLimit = 1;
    scheduler.configure(policy);
    ask("running", "low");
    ask("low", "low");
    ask("high", "high");
    REQUIRE(sink.refusals.size() == 1);
    CHECK(sink.refusals[0].request == RequestId("low"));
    CHECK(sink.refusals[0].retryAfter > units::Duration::zero());
}

TEST_CASE_FIXTURE(Fixture, "CellScheduler.RefusesWhoeverWaitedTooLong")
{
    ask("running", "low");
    ask("late", "low");
    clock.advance(std::chrono::minutes(2));
    scheduler.tick();
    REQUIRE(sink.refusals.size() == 1);
    CHECK(sink.refusals[0].code == units::ResultCode::WaitedTooLong);
}

// The router died and will release nothing; its slot must come free for the next one.
TEST_CASE_FIXTURE(Fixture, "CellScheduler.LostRouterFreesItsSlots")
{
    ask("dead", "low");
    ask("next", "low", "other-router");
    scheduler.routerLost(units::DaemonId("router"));
    REQUIRE(sink.grants.size() == 2);
    CHECK(sink.grants[1].request == RequestId("next"));
}

// The router died with one request running and one waiting. If its waiting ask got the freed
// slot, the slot would be held by nobody while others wait.
TEST_CASE_FIXTURE(Fixture, "CellScheduler.LostRouterGetsNoMoreSlots")
{
    ask("dead", "low");
    ask("dead too", "low");
    scheduler.routerLost(units::DaemonId("router"));
    CHECK(sink.grants.size() == 1);
    CHECK(scheduler.waiting() == 0);
    REQUIRE(sink.refusals.size() == 1);
    CHECK(sink.refusals[0].request == RequestId("dead too"));
}

// After its scheduler died a router tells the next one what it holds, and tells it again since
// the first reply was lost. Counted twice, the slot would never come free again.
TEST_CASE_FIXTURE(Fixture, "CellScheduler.AdoptsAGrantOnce")
{
    const units::GrantId first = scheduler.adopt(makeAsk("running", "low"), EndpointId("engine"));
    CHECK(scheduler.adopt(makeAsk("running", "low"), EndpointId("engine")) == first);
    ask("next", "low");
    CHECK(sink.grants.empty());
    scheduler.release({first, units::TokenCount(10), {}, {}});
    CHECK(sink.grants.size() == 1);
}

// After a scheduler died the routers tell the next one what waits, one ask after another. The
// first one told must not get the slot because of that alone.
TEST_CASE_FIXTURE(Fixture, "CellScheduler.HearsEverybodyBeforeItGrantsAfterATakeover")
{
    scheduler.settleUntil(clock.now() + std::chrono::milliseconds(200));
    ask("low", "low");
    ask("high", "high");
    CHECK(sink.grants.empty());
    clock.advance(std::chrono::milliseconds(200));
    scheduler.tick();
    REQUIRE(sink.grants.size() == 1);
    CHECK(sink.grants[0].request == RequestId("high"));
}

// A faulty router releases with a negative count of tokens. Taken as it is, its workspace would
// go before all others from then on.
TEST_CASE_FIXTURE(Fixture, "CellScheduler.ANegativeTokenCountEarnsNothing")
{
    ask("first", "high", "router", "faulty");
    ask("faulty-1", "high", "router", "faulty");
    ask("faulty-2", "high", "router", "faulty");
    ask("other", "high", "router", "other");
    release(0, ReleaseOutcome::CallerLeft, std::chrono::seconds(1), -1000000);
    release(1, ReleaseOutcome::CallerLeft, std::chrono::seconds(1), 100);
    REQUIRE(sink.grants.size() == 3);
    CHECK(sink.grants[2].request == RequestId("other"));
}

// A whole tier's queue fills from one workspace. The next workspace still finds a place: the
// one with most waiting gives it up, not whoever came last.
TEST_CASE_FIXTURE(Fixture, "CellScheduler.OneWorkspaceCannotFillTheQueue")
{
    policy.queueLimit = 10;
    scheduler.configure(policy);
    ask("running", "high");
    for (int i = 0; i < 10; ++i)
        ask("hog-" + std::to_string(i), "high", "router", "hog");
    ask("small", "high", "router", "small");
    REQUIRE(sink.refusals.size() == 1);
    CHECK(sink.refusals[0].request == RequestId("hog-9"));
    CHECK(sink.refusals[0].code == units::ResultCode::QueueFull);
}

// The target of a class that drops late requests passes while it waits: it is refused then, not
// at the end of its longest wait. A class that serves late ones goes on waiting.
TEST_CASE_FIXTURE(Fixture, "CellScheduler.DropsWhatIsLateAndServesWhatMayBeLate")
{
    addClass("drop", 0).late = LatePolicy::Drop;
    scheduler.configure(policy);
    ask("running", "low");
    ask("drop", "drop");
    ask("serve", "high");
    clock.advance(std::chrono::seconds(6));
    scheduler.tick();
    REQUIRE(sink.refusals.size() == 1);
    CHECK(sink.refusals[0].request == RequestId("drop"));
    CHECK(sink.refusals[0].code == units::ResultCode::DeadlineHopeless);
    CHECK(scheduler.waiting() == 1);
}

// Both wait, and the first one's target has just passed: served first it would still be late, and
// the second one soon as well.
TEST_CASE_FIXTURE(Fixture, "CellScheduler.ServesThoseInTimeBeforeThoseAlreadyLate")
{
    ask("running", "high");
    ask("late", "high");
    clock.advance(std::chrono::seconds(6));
    ask("in time", "high");
    releaseLast();
    REQUIRE(sink.grants.size() == 2);
    CHECK(sink.grants[1].request == RequestId("in time"));
    releaseLast();
    REQUIRE(sink.grants.size() == 3);
    CHECK(sink.grants[2].request == RequestId("late"));
}

// Far more of its own tier wait than can be served within the target: refused at once.
TEST_CASE_FIXTURE(Fixture, "CellScheduler.RefusesAHopelessDeadlineOnArrival")
{
    addClass("drop", 1).late = LatePolicy::Drop;
    scheduler.configure(policy);
    ask("running", "high");
    for (int i = 0; i < 100; ++i)
        ask("high-" + std::to_string(i), "high");
    ask("drop", "drop");
    REQUIRE(sink.refusals.size() == 1);
    CHECK(sink.refusals[0].code == units::ResultCode::DeadlineHopeless);
    CHECK(sink.refusals[0].retryAfter > units::Duration::zero());
}

// The last endpoint leaves while callers wait. They hear at once, and not at the end of their
// longest wait, since nothing that is known could serve them.
TEST_CASE_FIXTURE(Fixture, "CellScheduler.RefusesAllWhenTheLastEndpointLeaves")
{
    ask("running", "low");
    ask("waiting", "high");
    scheduler.setLeaving(EndpointId("engine"), true);
    REQUIRE(sink.refusals.size() == 1);
    CHECK(sink.refusals[0].code == units::ResultCode::NoEndpointAvailable);
}

// A retry at the head avoids the only free endpoint. Others who would take it must not wait
// behind it.
TEST_CASE_FIXTURE(Fixture, "CellScheduler.AnAskThatAvoidsTheFreeEndpointHoldsUpNobody")
{
    policy.endpoints.push_back({EndpointId("other"), 1});
    scheduler.configure(policy);
    ask("first", "high");
    ask("second", "high");
    SlotAsk retry = makeAsk("retry", "high");
    retry.avoid = {sink.grants.at(0).endpoint};
    scheduler.ask(retry);
    ask("low", "low");
    release(0);
    REQUIRE(sink.grants.size() == 3);
    CHECK(sink.grants[2].request == RequestId("low"));
    release(1);
    REQUIRE(sink.grants.size() == 4);
    CHECK(sink.grants[3].request == RequestId("retry"));
}

} // namespace monsoongrade::scheduling
