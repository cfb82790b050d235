#include <monsoongrade/scheduling/cellscheduler.h>
#include <monsoongrade/units/manualclock.h>

#include <scheduling/recordingsink.h>

#include <doctest/doctest.h>

#include <string>

namespace monsoongrade::scheduling {

namespace {

using units::ClassName;
using units::EndpointId;
using units::RequestId;
using units::Tier;

class Fixture
{
public:
    Fixture()
    {
        addClass("high", 0);
        addClass("low", 1);
        policy.endpoints = {{EndpointId("engine"), 1}};
        scheduler.configure(policy);
    }

    void addClass(const std::string &name, std::uint32_t tier)
    {
        ClassPolicy config;
        config.name = ClassName(name);
        config.tier = Tier(tier);
        policy.classes[config.name] = config;
    }

    void ask(const std::string &request, const std::string &className)
    {
        SlotAsk ask;
        ask.request = RequestId(request);
        ask.router = units::DaemonId("router");
        ask.className = ClassName(className);
        ask.workspace = units::WorkspaceName("w");
        scheduler.ask(ask);
    }

    void releaseLast()
    {
        scheduler.release({sink.grants.back().id, units::TokenCount(10), {}, {}});
    }

    units::ManualClock clock;
    RecordingSink sink;
    CellPolicy policy;
    CellScheduler scheduler{clock, sink};
};

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
    ask("next", "low");
    scheduler.routerLost(units::DaemonId("router"));
    REQUIRE(sink.grants.size() == 2);
    CHECK(sink.grants[1].request == RequestId("next"));
}

} // namespace monsoongrade::scheduling
