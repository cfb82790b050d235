#include "rpcfixture.h"

#include <doctest/doctest.h>

using namespace monsoongrade;
using namespace monsoongrade::tests;

// The caller sees nothing but a short wait.
// The scheduler dies while one request holds the only slot and another waits for it. The waiting
// one must be asked again at the next scheduler, and must not get the slot that is still held:
// the next scheduler knows of it only by the router's report.
TEST_CASE("SlotClient.ReportsHeldAndAsksAgainWhenTheSchedulerDies")
{
    TwoSchedulers cluster;
    TestRouter router("r", cluster.port, cluster.fleet);
    const Noted held = router.ask("held");
    REQUIRE(eventually([&] { return held->isGranted(); }));
    const Noted waiting = router.ask("waiting");
    REQUIRE(eventually([&] { return cluster.first->gauge("monsoongrade_cell_waiting") == 1; }));
    cluster.first->kill();
    REQUIRE(eventually([&] { return cluster.second->holds(1); }));
    REQUIRE(eventually([&] { return cluster.second->gauge("monsoongrade_cell_waiting") == 1; }));
    CHECK(waiting->decisions() == 0);
    router.release(held);
    CHECK(eventually([&] { return waiting->isGranted(); }));
    router.release(waiting);
    CHECK(eventually([&] { return cluster.second->holds(0); }));
    CHECK(waiting->decisions() == 1);
}

// The caller sees nothing but a short wait.
// The scheduler stops answering without closing its connections, as a frozen process or a cut
// network does. Without the heartbeat what waits there would wait until its class gives up.
// When it wakes it grants what it was asked; that router has long gone elsewhere, so the slot
// must come free again by itself.
TEST_CASE("SlotClient.LeavesAFrozenSchedulerWhichFreesItsLateGrantsWhenItWakes")
{
    TwoSchedulers cluster;
    TestRouter router("r", cluster.port, cluster.fleet);
    const Noted before = router.ask("before");
    REQUIRE(eventually([&] { return before->isGranted(); }));
    router.release(before);
    REQUIRE(eventually([&] { return cluster.first->holds(0); }));
    cluster.first->freeze();
    const Noted asked = router.ask("asked");
    CHECK(eventually([&] { return asked->isGranted(); }));
    CHECK(cluster.second->metrics.counter("monsoongrade_slots_granted_total", "pool=\"pool\"")
          == 1);
    cluster.first->wake();
    router.release(asked);
    // The pool comes back to the first scheduler, whose only slot must be free.
    const auto grantedByFirst = [&] {
        return cluster.first->metrics.counter("monsoongrade_slots_granted_total", "pool=\"pool\"");
    };
    const auto atWake = grantedByFirst();
    for (int i = 0; grantedByFirst() < atWake + 3; ++i) {
        const Noted after = router.ask("after-" + std::to_string(i));
        REQUIRE(eventually([&] { return after->isGranted(); }));
        router.release(after);
    }
    CHECK(eventually([&] { return cluster.first->server->routersUsing() == 0; }));
    CHECK(eventually([&] { return cluster.second->server->routersUsing() == 0; }));
    CHECK(asked->decisions() == 1);
}

// The caller sees a refusal with the time to come back, at once, or its answer from the router's
// own share. Nobody answers on any host.
TEST_CASE("SlotClient.RefusesAsUnreachableWhenNoSchedulerAnswers")
{
    TwoSchedulers cluster;
    TestRouter router("r", cluster.port, cluster.fleet);
    cluster.first->kill();
    cluster.second->kill();
    const Noted asked = router.ask("asked");
    REQUIRE(eventually([&] { return asked->refusal().has_value(); }));
    CHECK(asked->refusal()->code == units::ResultCode::SchedulerUnreachable);
    CHECK(asked->refusal()->retryAfter > units::Duration::zero());
}

// The caller of the higher tier sees its answer first although a caller of the lower tier asked
// before it. Both waited at a scheduler that died; its successor gathers all asks while it
// settles, and hands the slots out in the queue's order, not in that of arrival.
TEST_CASE("Cell.OpensInTheOrderOfTiersAfterATakeOver")
{
    rpc::SchedulerServerSettings settings;
    settings.settlingTime = std::chrono::milliseconds(1500);
    TwoSchedulers cluster(1, 1, settings);
    cluster.first->kill();
    TestRouter one("one", cluster.port, cluster.fleet);
    const Noted low = one.ask("low", "low");
    REQUIRE(eventually([&] { return cluster.second->gauge("monsoongrade_cell_waiting") == 1; }));
    const Noted high = one.ask("high", "high");
    REQUIRE(eventually([&] { return high->isGranted(); }));
    CHECK_FALSE(low->isGranted());
    one.release(high);
    CHECK(eventually([&] { return low->isGranted(); }));
}

// The caller sees nothing. Two routers hold slots of a scheduler that dies; the second reports
// later than the first. Its slot must not be handed out again between the two reports.
TEST_CASE("Cell.WaitsForAllRoutersReportsBeforeItOpens")
{
    rpc::SchedulerServerSettings settings;
    settings.settlingTime = std::chrono::minutes(2);
    TwoSchedulers cluster(1, 2, settings);
    TestRouter one("one", cluster.port, cluster.fleet);
    TestRouter two("two", cluster.port, cluster.fleet);
    const Noted heldByOne = one.ask("held");
    const Noted heldByTwo = two.ask("held");
    REQUIRE(eventually([&] { return heldByOne->isGranted() && heldByTwo->isGranted(); }));
    cluster.first->kill();
    const Noted third = one.ask("third");
    REQUIRE(eventually([&] { return cluster.second->holds(2); }));
    REQUIRE(eventually([&] { return cluster.second->gauge("monsoongrade_cell_waiting") == 1; }));
    CHECK_FALSE(third->isGranted());
    two.release(heldByTwo);
    CHECK(eventually([&] { return third->isGranted(); }));
}

// Endpoints see at most twice their slots. Two routers know different fleets, so that each asks
// another scheduler for the same pool, and neither scheduler knows of the other.
TEST_CASE("SlotClient.TwoSchedulersAtOnceGrantAtMostTwiceTheSlots")
{
    TwoSchedulers cluster(1, 3);
    membership::FleetHolder otherFleet;
    TwoSchedulers::publish(otherFleet, {cluster.second->member()});
    TestRouter one("one", cluster.port, cluster.fleet);
    TestRouter two("two", cluster.port, otherFleet);
    std::vector<Noted> all;
    for (int i = 0; i < 10; ++i) {
        all.push_back(one.ask(std::to_string(i)));
        all.push_back(two.ask(std::to_string(i)));
    }
    const auto granted = [&] {
        int count = 0;
        for (const Noted &noted : all)
            count += noted->isGranted() ? 1 : 0;
        return count;
    };
    REQUIRE(eventually([&] { return granted() == 6; }));
    // The view heals: the second router's pool moves to the first scheduler, with its grants.
    TwoSchedulers::publish(otherFleet, {cluster.first->member(), cluster.second->member()});
    REQUIRE(eventually([&] { return cluster.first->holds(6); }));
    CHECK(granted() == 6);
}

// The next caller sees its answer. A request ends between the report of its grant to the next
// scheduler and the answer with the grant's new number; sent with the old number or not at all,
// its release would leave the slot taken for ever.
TEST_CASE("HeldSlots.ReleaseThatOvertakesTheReportsAnswerFreesTheSlot")
{
    TwoSchedulers cluster;
    rpc::RpcSlotSourceSettings patient;
    patient.silenceLimit = std::chrono::minutes(2);
    TestRouter router("r", cluster.port, cluster.fleet, patient);
    const Noted held = router.ask("held");
    REQUIRE(eventually([&] { return held->isGranted(); }));
    cluster.second->freeze();
    cluster.publish({cluster.second->member()});
    cluster.first->kill();
    REQUIRE(eventually([&] {
        return router.metrics.counter("monsoongrade_pool_moves_total", "pool=\"pool\"") == 2;
    }));
    router.release(held);
    router.loop.postAndWait([] {});
    cluster.second->wake();
    const Noted next = router.ask("next");
    CHECK(eventually([&] { return next->isGranted(); }));
}
