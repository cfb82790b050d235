#include "rpcfixture.h"

#include <doctest/doctest.h>

using namespace monsoongrade;
using namespace monsoongrade::tests;

// Callers of other routers see their answers. A router dies while it holds the only slot and
// has asks in the queue; its slot must come free at once, and none of its asks may be granted to
// nobody. The lease is too long to be what frees it.
TEST_CASE("SlotService.FreesSlotsAndAsksOfADeadRouter")
{
    rpc::SchedulerServerSettings settings;
    settings.lease = std::chrono::hours(1);
    TwoSchedulers cluster(1, 1, settings);
    auto dying = std::make_unique<TestRouter>("dying", cluster.port, cluster.fleet);
    TestRouter other("other", cluster.port, cluster.fleet);
    const Noted held = dying->ask("held");
    REQUIRE(eventually([&] { return held->isGranted(); }));
    const Noted queued = dying->ask("queued");
    REQUIRE(eventually([&] { return cluster.first->gauge("monsoongrade_cell_waiting") == 1; }));
    const Noted waiting = other.ask("waiting");
    REQUIRE(eventually([&] { return cluster.first->gauge("monsoongrade_cell_waiting") == 2; }));
    dying.reset();
    CHECK(eventually([&] { return waiting->isGranted(); }));
    other.release(waiting);
    CHECK(eventually([&] { return cluster.first->holds(0); }));
}

// Callers of other routers see their answers. A router is frozen or cut off: its connection
// stays, and without the lease its slot would be taken for ever. When it wakes it must connect
// again and report that it still holds the slot.
TEST_CASE("SlotService.FreesSlotsOfASilentRouterAndCountsThemAgainWhenItIsBack")
{
    rpc::SchedulerServerSettings settings;
    settings.lease = std::chrono::milliseconds(1200);
    TwoSchedulers cluster(1, 1, settings);
    rpc::RpcSlotSourceSettings quick;
    quick.heartbeat = std::chrono::milliseconds(50);
    TestRouter frozen("frozen", cluster.port, cluster.fleet, quick);
    TestRouter other("other", cluster.port, cluster.fleet, quick);
    const Noted held = frozen.ask("held");
    REQUIRE(eventually([&] { return held->isGranted(); }));
    std::promise<void> woken;
    frozen.loop.post([future = woken.get_future().share()] { future.wait(); });
    const Noted waiting = other.ask("waiting");
    CHECK(eventually([&] { return waiting->isGranted(); }));
    woken.set_value();
    CHECK(eventually([&] { return cluster.first->holds(2); }));
    frozen.release(held);
    other.release(waiting);
    CHECK(eventually([&] { return cluster.first->holds(0); }));
}

// The caller sees nothing. A router connects again under the same id before the scheduler saw
// its first connection end. The end of the first must not free what the second holds.
TEST_CASE("SlotService.EndOfAnOldConnectionLeavesTheNewOneItsSlots")
{
    TwoSchedulers cluster(1, 2);
    auto before = std::make_unique<TestRouter>("same", cluster.port, cluster.fleet);
    const Noted old = before->ask("old");
    REQUIRE(eventually([&] { return old->isGranted(); }));
    std::promise<void> woken;
    before->loop.post([future = woken.get_future().share()] { future.wait(); });
    TestRouter after("same", cluster.port, cluster.fleet);
    const Noted renewed = after.ask("new");
    REQUIRE(eventually([&] { return renewed->isGranted(); }));
    woken.set_value();
    before.reset();
    const Noted next = after.ask("next");
    REQUIRE(eventually([&] { return next->isGranted(); }));
    const Noted full = after.ask("full");
    REQUIRE(eventually([&] { return cluster.first->gauge("monsoongrade_cell_waiting") == 1; }));
    CHECK(eventually([&] { return cluster.first->holds(2); }));
    CHECK(full->decisions() == 0);
}

namespace {

// A caller that left: gives back at once what reaches it before its cancel.
class LeftCaller : public NotedDecision
{
public:
    explicit LeftCaller(scheduling::SlotSource &slots)
        : slots_(slots)
    {
    }
    void slotGranted(const scheduling::SlotGrant &grant) override
    {
        NotedDecision::slotGranted(grant);
        scheduling::SlotRelease release;
        release.outcome = scheduling::ReleaseOutcome::CallerLeft;
        slots_.release(grant, release);
    }

private:
    scheduling::SlotSource &slots_;
};

} // namespace

// The caller has left. Its ask waits, or its grant is already on the way back, or has come; the
// slot must be free for the next. A grant that crosses the cancel reaches no listener.
TEST_CASE("SlotClient.CancelLeavesNoSlotTaken")
{
    TwoSchedulers cluster;
    TestRouter router("r", cluster.port, cluster.fleet);
    for (int i = 0; i < 200; ++i) {
        const std::string name = std::to_string(i);
        const auto left = std::make_shared<LeftCaller>(*router.slots);
        router.slots->ask(router.askOf(name), left);
        if (i % 3 == 0)
            REQUIRE(eventually([&] { return left->isGranted(); }));
        router.slots->cancel(router.askOf(name));
    }
    const Noted last = router.ask("last");
    REQUIRE(eventually([&] { return last->isGranted(); }));
    router.release(last);
    CHECK(eventually([&] { return cluster.first->holds(0); }));
}
