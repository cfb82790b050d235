#include "rpcfixture.h"

#include <doctest/doctest.h>

using namespace monsoongrade;
using namespace monsoongrade::tests;

// The caller sees nothing. A host joins and is first in the order for the pool; what is held at
// the old scheduler stays counted there and at the new one until its release, what waits moves.
TEST_CASE("SlotClient.MovesToASchedulerThatJoinsWithoutLossOrDoubleGrant")
{
    TwoSchedulers cluster;
    cluster.publish({cluster.second->member()});
    TestRouter router("r", cluster.port, cluster.fleet);
    const Noted held = router.ask("held");
    REQUIRE(eventually([&] { return held->isGranted(); }));
    const Noted waiting = router.ask("waiting");
    REQUIRE(eventually([&] { return cluster.second->gauge("monsoongrade_cell_waiting") == 1; }));
    cluster.publish({cluster.first->member(), cluster.second->member()});
    REQUIRE(eventually([&] { return cluster.first->gauge("monsoongrade_cell_waiting") == 1; }));
    REQUIRE(eventually([&] { return cluster.second->gauge("monsoongrade_cell_waiting") == 0; }));
    CHECK(eventually([&] { return cluster.first->holds(1) && cluster.second->holds(1); }));
    CHECK(waiting->decisions() == 0);
    router.release(held);
    CHECK(eventually([&] { return waiting->isGranted(); }));
    router.release(waiting);
    CHECK(eventually([&] { return cluster.first->holds(0) && cluster.second->holds(0); }));
}

// The caller sees nothing. A listed host whose scheduler does not answer comes first in the
// order; the pool must stay with the one that serves, not move there and come back.
TEST_CASE("SlotClient.StaysWithTheServingSchedulerWhileTheJoiningOneIsSilent")
{
    TwoSchedulers cluster;
    cluster.publish({cluster.second->member()});
    TestRouter router("r", cluster.port, cluster.fleet);
    const Noted one = router.ask("one");
    REQUIRE(eventually([&] { return one->isGranted(); }));
    cluster.first->freeze();
    cluster.publish({cluster.first->member(), cluster.second->member()});
    router.release(one);
    const Noted two = router.ask("two");
    CHECK(eventually([&] { return two->isGranted(); }));
    CHECK(cluster.second->metrics.counter("monsoongrade_slots_granted_total", "pool=\"pool\"")
          == 2);
    CHECK(router.metrics.counter("monsoongrade_pool_moves_total", "pool=\"pool\"") == 1);
}

// The caller sees nothing; no request is refused for the stop. The scheduler is told to stop
// while one request holds a slot and others wait: the waiting ones are asked again elsewhere
// with the report of what is held before them, and the scheduler has no router left.
TEST_CASE("SchedulerServer.PlannedStopMovesRoutersAndRefusesNobody")
{
    TwoSchedulers cluster;
    TestRouter router("r", cluster.port, cluster.fleet);
    const Noted held = router.ask("held");
    REQUIRE(eventually([&] { return held->isGranted(); }));
    std::vector<Noted> waiting(5);
    for (std::size_t i = 0; i < waiting.size(); ++i)
        waiting[i] = router.ask(std::to_string(i));
    REQUIRE(eventually([&] { return cluster.first->gauge("monsoongrade_cell_waiting") == 5; }));
    cluster.first->server->startLeaving();
    REQUIRE(eventually([&] { return cluster.first->server->routersUsing() == 0; }));
    REQUIRE(eventually([&] { return cluster.second->gauge("monsoongrade_cell_waiting") == 5; }));
    CHECK(eventually([&] { return cluster.second->holds(1); }));
    cluster.first->kill();
    router.release(held);
    // The five arrived within microseconds of each other; any of them may come first.
    while (!waiting.empty()) {
        const auto isGranted = [](const Noted &noted) {
            return noted->isGranted();
        };
        auto next = waiting.end();
        REQUIRE(eventually([&] {
            next = std::find_if(waiting.begin(), waiting.end(), isGranted);
            return next != waiting.end();
        }));
        router.release(*next);
        waiting.erase(next);
    }
    CHECK(eventually([&] { return cluster.second->holds(0); }));
}

// The caller sees nothing. The stopping scheduler has a router that only holds a slot and asks
// for nothing, so no answer can tell it; the heartbeat does.
TEST_CASE("SchedulerServer.PlannedStopReachesARouterThatOnlyHolds")
{
    TwoSchedulers cluster;
    TestRouter router("r", cluster.port, cluster.fleet);
    const Noted held = router.ask("held");
    REQUIRE(eventually([&] { return held->isGranted(); }));
    cluster.first->server->startLeaving();
    CHECK(eventually([&] { return cluster.first->server->routersUsing() == 0; }));
    CHECK(eventually([&] { return cluster.second->holds(1); }));
}
