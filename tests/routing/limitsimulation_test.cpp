#include "limitedfleet.h"

#include <doctest/doctest.h>

#include <utility>

using namespace monsoongrade::routing;
using std::chrono::seconds;

namespace {

void checkKept(const LimitedFleet::Settings &settings)
{
    const LimitedFleet::Result result = LimitedFleet(settings).play();
    CHECK_MESSAGE(result.most <= result.allowed, settings.hosts, " hosts, ", settings.limited,
                  " limits of ", settings.limit, ", seed ", settings.seed);
    CHECK(result.used > 0);
}

LimitedFleet::Settings fleet(std::size_t hosts, std::size_t limited, double limit)
{
    LimitedFleet::Settings settings;
    settings.hosts = hosts;
    settings.endpoints = hosts == 8 ? 12 : 60;
    settings.limited = limited;
    settings.limit = limit;
    settings.requestsPerSecond = hosts == 8 ? 120 : 700;
    return settings;
}

} // namespace

// Guards against a coordinator that learns of many limits too late.
TEST_CASE("LimitSimulation.ManyLimitsAnnouncedAtOnceAreKept")
{
    for (const auto &[hosts, limited] :
         {std::pair<std::size_t, std::size_t>{8, 12}, {81, 1}, {81, 20}, {81, 60}, {300, 60}}) {
        for (const double limit : {0.5, 2.0, 10.0}) {
            LimitedFleet::Settings settings = fleet(hosts, limited, limit);
            checkKept(settings);
            settings.hostsWithoutCallers = 2;
            checkKept(settings);
        }
    }
}

// Guards against hosts that are asked at the same time and each use the whole limit.
TEST_CASE("LimitSimulation.HostsAskedAtTheSameTimeShareTheLimits")
{
    for (const std::size_t hosts : {8, 81}) {
        for (const double limit : {1.0, 4.0, 20.0}) {
            LimitedFleet::Settings settings = fleet(hosts, 10, limit);
            settings.requestsPerSecond *= 2;
            settings.isOrderSplit = true;
            checkKept(settings);
            settings.lateAnswers = 0.1;
            checkKept(settings);
        }
    }
}

// Guards against a successor that begins with the whole limit while hosts decide alone.
TEST_CASE("LimitSimulation.LimitsAreKeptWhenTheCoordinatorIsLost")
{
    for (const std::size_t hosts : {8, 81}) {
        for (const double limit : {1.0, 4.0, 20.0}) {
            LimitedFleet::Settings settings = fleet(hosts, 10, limit);
            settings.requestsPerSecond *= 2;
            settings.coordinatorLostAt = seconds(9);
            checkKept(settings);
        }
    }
}

// Guards against a host that becomes coordinator when it starts, and knows no limits.
TEST_CASE("LimitSimulation.LimitsAreKeptWhenACoordinatorJoins")
{
    for (const std::size_t hosts : {8, 81}) {
        for (const double limit : {1.0, 4.0, 20.0}) {
            LimitedFleet::Settings settings = fleet(hosts, 10, limit);
            settings.requestsPerSecond *= 2;
            settings.coordinatorJoinsAt = seconds(9);
            checkKept(settings);
        }
    }
}

// Guards against limits that are kept by leaving endpoints idle, also if many hosts have no
// callers.
TEST_CASE("LimitSimulation.ThreeQuartersOfTheLimitsAreUsedUnderLoad")
{
    for (const std::size_t hosts : {8, 81}) {
        for (const double limit : {1.0, 4.0}) {
            LimitedFleet::Settings settings = fleet(hosts, hosts == 8 ? 12 : 60, limit);
            for (const std::size_t idle : {std::size_t(0), hosts / 2}) {
                settings.hostsWithoutCallers = idle;
                const double used = LimitedFleet(settings).play().used;
                CHECK_MESSAGE(used >= 0.75, hosts, " hosts, limit ", limit, ", idle ", idle,
                              ", used ", used);
            }
        }
    }
}
