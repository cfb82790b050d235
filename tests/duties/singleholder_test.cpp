#include "dutyworld.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <set>

namespace monsoongrade::duties {

namespace {

constexpr int SeedsWithFaults = 400;
constexpr int SeedsOfStops = 50;
constexpr int FaultsInARowMs = 600;
constexpr auto Day = std::chrono::seconds(60);

std::set<std::string> faultsOf(DutyWorldSettings settings, int seeds)
{
    std::set<std::string> faults;
    for (int seed = 1; seed <= seeds; ++seed) {
        settings.seed = std::uint32_t(seed);
        DutyWorld world(settings);
        world.run(Day);
        faults.insert(world.faults().begin(), world.faults().end());
    }
    return faults;
}

// The holder is stopped and restarted, and its successor soon after.
std::set<std::string> faultsOfTwoPlannedStops(DutyWorldSettings settings)
{
    settings.hosts = 2;
    settings.hasFaults = false;
    std::set<std::string> faults;
    for (int seed = 1; seed <= SeedsOfStops; ++seed) {
        settings.seed = std::uint32_t(seed);
        DutyWorld world(settings);
        world.run(std::chrono::seconds(10));
        for (int stops = 0; stops < 2; ++stops) {
            while (world.holder() < 0)
                world.run(std::chrono::milliseconds(50));
            world.run(std::chrono::milliseconds(150));
            world.stop(world.holder(), std::chrono::milliseconds(50));
        }
        world.run(std::chrono::seconds(5));
        faults.insert(world.faults().begin(), world.faults().end());
    }
    return faults;
}

// Plays calm worlds until one host has held the lease for a while, then the scene.
template <typename Scene>
void playWithHolder(Scene &&scene)
{
    DutyWorldSettings settings;
    settings.hasFaults = false;
    for (int seed = 1; seed <= 20; ++seed) {
        settings.seed = std::uint32_t(seed);
        DutyWorld world(settings);
        world.run(std::chrono::seconds(10));
        const int first = world.holder();
        REQUIRE(first >= 0);
        scene(world, first);
    }
}

} // namespace

TEST_SUITE_BEGIN("SingleHolder");

// Guards against two hosts acting at once, whatever crashes, freezes, is cut off, lost or late.
TEST_CASE("SingleHolder.KeepsTheRulesOfDutiesUnderSeededFaults")
{
    for (int hosts : {2, 3}) {
        for (int maxCalmMs : {DutyWorldSettings().maxCalmMs, FaultsInARowMs}) {
            DutyWorldSettings settings;
            settings.hosts = hosts;
            settings.maxCalmMs = maxCalmMs;
            CHECK(faultsOf(settings, SeedsWithFaults) == std::set<std::string>());
        }
    }
}

TEST_CASE("SingleHolder.KeepsTheRulesOfDutiesUnderRandomFaults")
{
    CHECK(rc::check("no rule of duties is broken", [] {
        DutyWorldSettings settings;
        settings.seed = *rc::gen::arbitrary<std::uint32_t>();
        settings.hosts = *rc::gen::inRange(2, 4);
        DutyWorld world(settings);
        world.run(Day);
        RC_ASSERT(world.faults().empty());
    }));
}

// Guards against checks that see nothing: each safeguard taken out is noticed.
TEST_CASE("SingleHolder.ChecksNoticeEachMissingSafeguard")
{
    DutyWorldSettings withoutFixing;
    withoutFixing.fixesReports = false;
    CHECK(faultsOf(withoutFixing, SeedsWithFaults).count("two reports of one window differ") == 1);

    DutyWorldSettings withoutTokens;
    withoutTokens.countsTokens = false;
    CHECK(faultsOf(withoutTokens, SeedsWithFaults).count("two holders under one token") == 1);

    DutyWorldSettings withoutPause;
    withoutPause.pausesAfterLoss = false;
    CHECK(faultsOfTwoPlannedStops(withoutPause)
              .count("a holder acts again after another one within the lease")
          == 1);
}

TEST_CASE("SingleHolder.ReportsEachWindowOfACalmDayWithFewCalls")
{
    DutyWorldSettings settings;
    settings.hasFaults = false;
    DutyWorld world(settings);
    world.run(Day);
    CHECK(world.faults().empty());
    CHECK(world.reports().size() >= 11);
    // One renewal a second and one object for each window.
    CHECK(world.storeCalls() <= 60 + 14 + 3);
}

// Guards against a day without reports after the holder is gone.
TEST_CASE("SingleHolder.AnotherHostHoldsTheLeaseSoonAfterTheHolderIsKilled")
{
    playWithHolder([](DutyWorld &world, int first) {
        world.crash(first, std::chrono::minutes(1));
        world.run(std::chrono::milliseconds(4500));
        CHECK(world.holder() >= 0);
        CHECK(world.holder() != first);
    });
}

// Guards against a holder that is stopped and back before its successor's lease is over.
TEST_CASE("SingleHolder.ARestartedHolderLeavesTheLeaseToOthersForItsDuration")
{
    CHECK(faultsOfTwoPlannedStops({}).empty());
}

// Guards against a pause of the duties at each planned stop.
TEST_CASE("SingleHolder.APlannedStopHandsTheLeaseOverWithinSeconds")
{
    playWithHolder([](DutyWorld &world, int first) {
        world.stop(first, std::chrono::minutes(1));
        world.run(std::chrono::milliseconds(1500));
        CHECK(world.holder() >= 0);
        CHECK(world.holder() != first);
        CHECK(world.faults().empty());
    });
}

// Guards against a frozen holder that goes on acting when it wakes up.
TEST_CASE("SingleHolder.AFrozenHolderDoesNotActAfterItsLeasePassedOn")
{
    playWithHolder([](DutyWorld &world, int first) {
        world.freeze(first, std::chrono::seconds(7));
        world.run(std::chrono::seconds(30));
        CHECK(world.holder() != first);
        CHECK(world.faults().empty());
        CHECK(world.reports().size() >= 6);
    });
}

TEST_SUITE_END();

} // namespace monsoongrade::duties
