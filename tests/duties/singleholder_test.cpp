#include "dutysimulation.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <set>

namespace monsoongrade::duties {

namespace {

constexpr int SeedsWithFaults = 400;
constexpr int SeedsOfPlannedStops = 50;
constexpr int FrequentFaultIntervalMs = 600;
constexpr auto RunTime = std::chrono::seconds(60);

std::set<std::string> violationsOf(DutySimulationSettings settings, int seeds)
{
    std::set<std::string> violations;
    for (int seed = 1; seed <= seeds; ++seed) {
        settings.seed = std::uint32_t(seed);
        DutySimulation simulation(settings);
        simulation.run(RunTime);
        violations.insert(simulation.violations().begin(), simulation.violations().end());
    }
    return violations;
}

// Stops and restarts the holder, and its successor soon after.
std::set<std::string> violationsOfTwoPlannedStops(DutySimulationSettings settings)
{
    settings.hosts = 2;
    settings.hasFaults = false;
    std::set<std::string> violations;
    for (int seed = 1; seed <= SeedsOfPlannedStops; ++seed) {
        settings.seed = std::uint32_t(seed);
        DutySimulation simulation(settings);
        simulation.run(std::chrono::seconds(10));
        for (int stops = 0; stops < 2; ++stops) {
            while (simulation.holder() < 0)
                simulation.run(std::chrono::milliseconds(50));
            simulation.run(std::chrono::milliseconds(150));
            simulation.stop(simulation.holder(), std::chrono::milliseconds(50));
        }
        simulation.run(std::chrono::seconds(5));
        violations.insert(simulation.violations().begin(), simulation.violations().end());
    }
    return violations;
}

// Runs simulations without injected faults until one host has held the lease for a while, then the
// scenario.
template <typename Scenario>
void runWithHolder(Scenario &&scenario)
{
    DutySimulationSettings settings;
    settings.hasFaults = false;
    for (int seed = 1; seed <= 20; ++seed) {
        settings.seed = std::uint32_t(seed);
        DutySimulation simulation(settings);
        simulation.run(std::chrono::seconds(10));
        const int first = simulation.holder();
        REQUIRE(first >= 0);
        scenario(simulation, first);
    }
}

} // namespace

TEST_SUITE_BEGIN("SingleHolder");

// Guards against two hosts acting at once when hosts crash, freeze or are disconnected, or calls
// are lost or late.
TEST_CASE("SingleHolder.NoViolationsUnderSeededFaults")
{
    for (int hosts : {2, 3}) {
        for (int maxFaultIntervalMs :
             {DutySimulationSettings().maxFaultIntervalMs, FrequentFaultIntervalMs}) {
            DutySimulationSettings settings;
            settings.hosts = hosts;
            settings.maxFaultIntervalMs = maxFaultIntervalMs;
            CHECK(violationsOf(settings, SeedsWithFaults) == std::set<std::string>());
        }
    }
}

TEST_CASE("SingleHolder.NoViolationsUnderRandomFaults")
{
    CHECK(rc::check("no rule for duties is violated", [] {
        DutySimulationSettings settings;
        settings.seed = *rc::gen::arbitrary<std::uint32_t>();
        settings.hosts = *rc::gen::inRange(2, 4);
        DutySimulation simulation(settings);
        simulation.run(RunTime);
        RC_ASSERT(simulation.violations().empty());
    }));
}

// Guards against ineffective checks: each disabled safeguard must cause its violation.
TEST_CASE("SingleHolder.ChecksDetectEachDisabledSafeguard")
{
    DutySimulationSettings withoutStoring;
    withoutStoring.storesReports = false;
    CHECK(violationsOf(withoutStoring, SeedsWithFaults).count("two reports of one window differ")
          == 1);

    DutySimulationSettings withoutTokens;
    withoutTokens.incrementsTokens = false;
    CHECK(violationsOf(withoutTokens, SeedsWithFaults).count("two holders under one token") == 1);

    DutySimulationSettings withoutDelay;
    withoutDelay.delaysReacquire = false;
    CHECK(violationsOfTwoPlannedStops(withoutDelay)
              .count("a holder acts again after another one within the lease")
          == 1);
}

TEST_CASE("SingleHolder.ReportsEachWindowWithFewCallsWithoutFaults")
{
    DutySimulationSettings settings;
    settings.hasFaults = false;
    DutySimulation simulation(settings);
    simulation.run(RunTime);
    CHECK(simulation.violations().empty());
    CHECK(simulation.reports().size() >= 11);
    // One renewal a second and one stored report for each window.
    CHECK(simulation.storeCalls() <= 60 + 14 + 3);
}

// Guards against missing reports after the holder has crashed.
TEST_CASE("SingleHolder.AnotherHostAcquiresTheLeaseSoonAfterTheHolderCrashes")
{
    runWithHolder([](DutySimulation &simulation, int first) {
        simulation.crash(first, std::chrono::minutes(1));
        simulation.run(std::chrono::milliseconds(4500));
        CHECK(simulation.holder() >= 0);
        CHECK(simulation.holder() != first);
    });
}

// Guards against a restarted holder that acquires the lease again right after its successor.
TEST_CASE("SingleHolder.ARestartedHolderDoesNotReacquireTheLeaseWithinItsDuration")
{
    CHECK(violationsOfTwoPlannedStops({}).empty());
}

// Guards against an interruption of the duties at each planned stop.
TEST_CASE("SingleHolder.APlannedStopHandsTheLeaseOverWithinSeconds")
{
    runWithHolder([](DutySimulation &simulation, int first) {
        simulation.stop(first, std::chrono::minutes(1));
        simulation.run(std::chrono::milliseconds(1500));
        CHECK(simulation.holder() >= 0);
        CHECK(simulation.holder() != first);
        CHECK(simulation.violations().empty());
    });
}

// Guards against a frozen holder that continues to act when it resumes.
TEST_CASE("SingleHolder.AFrozenHolderDoesNotActAfterItsLeaseWasTakenOver")
{
    runWithHolder([](DutySimulation &simulation, int first) {
        simulation.freeze(first, std::chrono::seconds(7));
        simulation.run(std::chrono::seconds(30));
        CHECK(simulation.holder() != first);
        CHECK(simulation.violations().empty());
        CHECK(simulation.reports().size() >= 6);
    });
}

TEST_SUITE_END();

} // namespace monsoongrade::duties
