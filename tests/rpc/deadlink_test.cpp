#include "rpcfixture.h"
#include "testrelay.h"

#include <doctest/doctest.h>

using namespace monsoongrade;
using namespace monsoongrade::tests;

namespace {

// A router whose link to the first scheduler goes through a relay. Its fleet view names both
// schedulers as alive all the time.
class RelayedCluster
{
public:
    explicit RelayedCluster(const rpc::SchedulerServerSettings &settings = {},
                            const rpc::RpcSlotSourceSettings &quick = quickSettings())
        : cluster(1, 1, settings)
        , relay("127.34.1.9", cluster.port, cluster.first->member().address, cluster.port)
    {
        membership::Member relayed = cluster.first->member();
        relayed.address = "127.34.1.9";
        TwoSchedulers::publish(fleet, {relayed, cluster.second->member()});
        router = std::make_unique<TestRouter>("relayed", cluster.port, fleet, quick);
    }

    static rpc::RpcSlotSourceSettings quickSettings()
    {
        rpc::RpcSlotSourceSettings settings;
        settings.heartbeat = std::chrono::milliseconds(50);
        return settings;
    }

    // Until what the last answers set off has passed too; for ten rounds at most.
    void waitUntilQuiet()
    {
        std::int64_t before = -1;
        for (int i = 0; i < 10 && before != relay.toScheduler() + relay.toRouter(); ++i) {
            before = relay.toScheduler() + relay.toRouter();
            std::this_thread::sleep_for(std::chrono::milliseconds(300));
        }
    }

    TwoSchedulers cluster;
    membership::FleetHolder fleet;
    TestRelay relay;
    std::unique_ptr<TestRouter> router;
};

struct Cut
{
    bool toScheduler;
    bool toRouter;
};

// Cuts the link one way, the other and both, each time once the router's ask was granted and all
// is quiet; prepare runs before the cut, check after it.
template <typename Prepare, typename Check>
void withAnyCut(const rpc::SchedulerServerSettings &settings, Prepare prepare, Check check)
{
    for (const Cut &cut : {Cut{true, false}, Cut{false, true}, Cut{true, true}}) {
        CAPTURE(cut.toScheduler);
        CAPTURE(cut.toRouter);
        RelayedCluster relayed(settings);
        const Noted granted = relayed.router->ask("granted");
        REQUIRE(eventually([&] { return granted->isGranted(); }));
        prepare(relayed, granted);
        relayed.waitUntilQuiet();
        relayed.relay.cut(cut.toScheduler, cut.toRouter);
        check(relayed, granted);
    }
}

void doNothing(RelayedCluster & /*relayed*/, const Noted & /*granted*/) { }

// Routers that are asked for a sign of life soon, and have long to give it.
rpc::SchedulerServerSettings watchful()
{
    rpc::SchedulerServerSettings settings;
    settings.answerLimit = std::chrono::seconds(30);
    settings.lease = settings.answerLimit + std::chrono::milliseconds(100);
    return settings;
}

rpc::SchedulerServerSettings quickLease()
{
    rpc::SchedulerServerSettings settings;
    settings.lease = std::chrono::milliseconds(1200);
    return settings;
}

} // namespace

// Callers see nothing; hosts would spend most of their control traffic. A router that waits for
// nothing says nothing, however long it holds a slot.
TEST_CASE("SlotClient.HoldingASlotSendsNothing")
{
    RelayedCluster relayed;
    const Noted held = relayed.router->ask("held");
    REQUIRE(eventually([&] { return held->isGranted(); }));
    relayed.waitUntilQuiet();
    const auto before = relayed.relay.toScheduler() + relayed.relay.toRouter();
    std::this_thread::sleep_for(std::chrono::seconds(1));
    CHECK(relayed.relay.toScheduler() + relayed.relay.toRouter() == before);
    CHECK(relayed.cluster.first->holds(1));
}

// The caller sees a short wait. The connection goes silent for good in one direction or both,
// with no reset, while every host is seen alive; its ask must be decided elsewhere.
TEST_CASE("SlotClient.AsksElsewhereWhenItsConnectionGoesSilent")
{
    const auto release = [](RelayedCluster &relayed, const Noted &granted) {
        relayed.router->release(granted);
    };
    withAnyCut({}, release, [](RelayedCluster &relayed, const Noted & /*granted*/) {
        const Noted asked = relayed.router->ask("asked");
        REQUIRE(eventually([&] { return asked->isGranted(); }));
        relayed.router->release(asked);
        CHECK(eventually([&] { return relayed.cluster.first->holds(0); }));
        CHECK(asked->decisions() == 1);
    });
}

// Callers of other routers see their answers. A request ends after its connection went silent;
// nobody waits behind it here, so only the release's own missing answer can tell the router. Its
// slot must come free.
TEST_CASE("SlotClient.ReleaseOverASilentConnectionFreesTheSlot")
{
    const auto seeHeld = [](RelayedCluster &relayed, const Noted & /*granted*/) {
        REQUIRE(eventually([&] { return relayed.cluster.first->holds(1); }));
    };
    withAnyCut({}, seeHeld, [](RelayedCluster &relayed, const Noted &granted) {
        relayed.router->release(granted);
        CHECK(eventually([&] { return relayed.cluster.first->holds(0); }));
        CHECK(eventually([&] {
            return relayed.router->metrics.counter("monsoongrade_scheduler_silent_total") == 1;
        }));
    });
}

// Callers of other routers see their answers. A router holds the only slot, its connection goes
// silent, and it has nothing to say that could tell it. Whoever waits for the slot gets it.
TEST_CASE("SlotService.FreesSlotsBehindASilentConnectionForWhoeverWaits")
{
    withAnyCut(quickLease(), doNothing, [](RelayedCluster &relayed, const Noted & /*granted*/) {
        TestRouter other("other", relayed.cluster.port, relayed.cluster.fleet);
        const Noted waiting = other.ask("waiting");
        CHECK(eventually([&] { return waiting->isGranted(); }));
    });
}

// The endpoint would see more than its slots. A router holds a slot and is quiet because it has
// nothing to say; asked for a sign of life as often as others wait, it keeps the slot.
TEST_CASE("SlotService.QuietRouterGivesASignAndKeepsItsSlot")
{
    TwoSchedulers cluster(1, 1, watchful());
    TestRouter quiet("quiet", cluster.port, cluster.fleet);
    TestRouter other("other", cluster.port, cluster.fleet);
    const Noted held = quiet.ask("held");
    REQUIRE(eventually([&] { return held->isGranted(); }));
    const Noted waiting = other.ask("waiting");
    CHECK(eventually([&] {
        return cluster.first->metrics.counter("monsoongrade_router_signs_asked_total") >= 5;
    }));
    CHECK(cluster.first->metrics.counter("monsoongrade_router_leases_expired_total") == 0);
    CHECK_FALSE(waiting->isGranted());
    quiet.release(held);
    CHECK(eventually([&] { return waiting->isGranted(); }));
}

// Callers see nothing yet: nobody waits. A router that the fleet suspects is asked for a sign of
// life all the same, so that its slots are free when somebody comes.
TEST_CASE("SlotService.FreesSlotsOfASuspectedRouterBeforeAnybodyWaits")
{
    TwoSchedulers cluster(1, 1, quickLease());
    membership::FleetHolder routersView;
    TwoSchedulers::publish(routersView, {cluster.first->member()});
    TestRouter frozen("lost-host.router.1", cluster.port, routersView);
    const Noted held = frozen.ask("held");
    REQUIRE(eventually([&] { return cluster.first->holds(1); }));
    std::promise<void> woken;
    frozen.loop.post([future = woken.get_future().share()] { future.wait(); });
    membership::Member suspected = cluster.first->member();
    suspected.host = units::HostName("lost-host");
    suspected.suspected = true;
    cluster.publish({cluster.first->member(), cluster.second->member(), suspected});
    CHECK(eventually([&] { return cluster.first->holds(0); }));
    woken.set_value();
}

// Endpoints would see more than their slots until the suspicion runs out. A router that only
// holds waits for nothing from its frozen scheduler; the fleet's suspicion makes it ask, and
// report to the next one.
TEST_CASE("SlotClient.LeavesASuspectedSchedulerThatGivesNoSign")
{
    TwoSchedulers cluster;
    TestRouter router("r", cluster.port, cluster.fleet);
    const Noted held = router.ask("held");
    REQUIRE(eventually([&] { return held->isGranted(); }));
    cluster.first->freeze();
    membership::Member suspected = cluster.first->member();
    suspected.schedulerSuspected = true;
    cluster.publish({suspected, cluster.second->member()});
    CHECK(eventually([&] { return cluster.second->holds(1); }));
}
