#include <monsoongrade/slots/fallbackslotsource.h>
#include <monsoongrade/slots/localslotsource.h>
#include <monsoongrade/units/manualclock.h>

#include <doctest/doctest.h>

#include <future>
#include <vector>

using namespace monsoongrade;
using units::ResultCode;

namespace {

// Refuses everything with one code and counts what is released.
class RefusingSource : public scheduling::SlotSource
{
public:
    void ask(const scheduling::SlotAsk &ask,
             std::shared_ptr<scheduling::SlotListener> listener) override
    {
        listener->slotRefused({ask.request, code, units::Duration()});
    }
    void cancel(const scheduling::SlotAsk & /*ask*/) override { }
    void release(const scheduling::SlotGrant & /*grant*/,
                 const scheduling::SlotRelease & /*release*/) override
    {
        ++released;
    }

    ResultCode code = ResultCode::SchedulerUnreachable;
    int released = 0;
};

class Decision : public scheduling::SlotListener
{
public:
    void slotGranted(const scheduling::SlotGrant &grant) override { granted_.set_value(grant); }
    void slotRefused(const scheduling::SlotRefusal &refusal) override
    {
        refused_.set_value(refusal.code);
    }
    scheduling::SlotGrant grant() { return granted_.get_future().get(); }
    ResultCode code() { return refused_.get_future().get(); }

private:
    std::promise<scheduling::SlotGrant> granted_;
    std::promise<ResultCode> refused_;
};

struct Fixture
{
    Fixture()
    {
        auto next = std::make_shared<configuration::Configuration>();
        next->generation = units::Generation(1);
        auto &pool = next->pools[units::PoolName("pool")];
        configuration::EndpointConfig endpoint;
        endpoint.id = units::EndpointId("e");
        endpoint.slots = 2;
        pool.endpoints.push_back(endpoint);
        configuration.offer(next);
        membership::FleetView view;
        view.entryHosts = {{units::HostName("a"), "", {}, false, false},
                           {units::HostName("b"), "", {}, false, false}};
        fleet.publish(view);
    }

    scheduling::SlotAsk askOf(const std::string &request)
    {
        scheduling::SlotAsk ask;
        ask.request = units::RequestId(request);
        ask.pool = units::PoolName("pool");
        return ask;
    }

    units::ManualClock clock;
    observability::Metrics metrics;
    configuration::ConfigurationHolder configuration;
    membership::FleetHolder fleet;
    RefusingSource unreachable;
    slots::LocalSlotSource local{clock, units::HostName("a"), configuration, fleet, metrics};
    slots::FallbackSlotSource source{clock, unreachable, local, metrics};
};

} // namespace

// The caller sees its answer. No scheduler can be reached; the router has two routers' half of
// the two slots, so the second request waits until the first is released, and goes the same way.
TEST_CASE("FallbackSlotSource.UsesTheOwnShareWhenNoSchedulerIsReachable")
{
    Fixture f;
    const auto first = std::make_shared<Decision>();
    const auto second = std::make_shared<Decision>();
    f.source.ask(f.askOf("first"), first);
    const scheduling::SlotGrant grant = first->grant();
    f.source.ask(f.askOf("second"), second);
    f.source.release(grant, {});
    const scheduling::SlotGrant next = second->grant();
    CHECK(next.request == units::RequestId("second"));
    f.source.release(next, {});
    CHECK(f.unreachable.released == 0);
    CHECK(f.metrics.counter("monsoongrade_own_share_fallbacks_total", "pool=\"pool\"") == 2);
}

// The caller sees the scheduler's refusal: a full queue is a decision, and the own share would
// let a lower class in past it.
TEST_CASE("FallbackSlotSource.PassesOnWhatASchedulerDecided")
{
    Fixture f;
    f.unreachable.code = ResultCode::QueueFull;
    const auto asked = std::make_shared<Decision>();
    f.source.ask(f.askOf("asked"), asked);
    CHECK(asked->code() == ResultCode::QueueFull);
    CHECK(f.metrics.counter("monsoongrade_own_share_fallbacks_total", "pool=\"pool\"") == 0);
}

// The next caller sees its answer. A caller leaves while its request waits in the own share;
// the slot must not be kept for it.
TEST_CASE("FallbackSlotSource.CancelOnTheSecondWayLeavesNoSlotTaken")
{
    Fixture f;
    const auto first = std::make_shared<Decision>();
    const auto next = std::make_shared<Decision>();
    f.source.ask(f.askOf("first"), first);
    const scheduling::SlotGrant grant = first->grant();
    f.source.ask(f.askOf("left"), std::make_shared<Decision>());
    f.source.cancel(f.askOf("left"));
    f.source.ask(f.askOf("next"), next);
    f.source.release(grant, {});
    CHECK(next->grant().request == units::RequestId("next"));
}

// The caller sees a refusal with the time to come back: the pool is not configured.
TEST_CASE("LocalSlotSource.RefusesAPoolThatIsNotConfigured")
{
    Fixture f;
    auto ask = f.askOf("asked");
    ask.pool = units::PoolName("unknown");
    const auto asked = std::make_shared<Decision>();
    f.local.ask(ask, asked);
    CHECK(asked->code() == ResultCode::NoEndpointAvailable);
}
