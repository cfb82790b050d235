#include <routing/placerfixture.h>

#include <doctest/doctest.h>

#include <functional>
#include <map>
#include <random>

using namespace monsoongrade;
using namespace monsoongrade::routing;

namespace {

using Milliseconds = std::chrono::duration<double, std::milli>;

// Rate of an engine of speed 1, and the time that the first event takes besides the prefill.
constexpr double TokensPerMs = 61.2;
constexpr double FixedMs = 30;

units::Duration duration(double ms)
{
    return std::chrono::duration_cast<units::Duration>(Milliseconds(ms));
}

// Engines that prefill one prompt after another, with noise, at a constant arrival rate.
struct Simulation : PlacerFixture
{
    explicit Simulation(std::vector<double> engineSpeeds)
        : PlacerFixture(int(engineSpeeds.size()), 64)
        , engines(std::move(engineSpeeds))
        , freeAt(engines.size())
    {
    }

    void run(std::chrono::seconds time, double intervalMs, const std::function<void()> &check = {})
    {
        const units::TimePoint end = now + time;
        std::uniform_real_distribution<double> uniform(0, 1);
        while (now < end) {
            now += duration(intervalMs * 2 * uniform(random));
            for (; !events.empty() && events.begin()->first <= now; events.erase(events.begin())) {
                placer.onEvent(events.begin()->second.first, events.begin()->second.second,
                               events.begin()->first);
            }
            const int kind = int(uniform(random) * 6);
            const std::string part
                = std::to_string(kind) + "-" + std::to_string(int(uniform(random) * 24));
            placeOne(kind < 3       ? modelQuery("", 0, 1460)
                         : kind < 5 ? modelQuery(part, 6300, 2890)
                                    : modelQuery(part, 13300, 3720));
            if (check)
                check();
        }
    }

    // Drops the request if it would wait, as callers in an overload are refused.
    void placeOne(PlacementQuery query)
    {
        query.mayWait = true;
        std::uniform_real_distribution<double> noise(0.85, 1.15);
        const PlacementChoice choice = place(query);
        if (choice.endpoint == nullptr || choice.isWaiting) {
            placer.onEvent(lastTicket(), PlacementEvent::Withdrawn, now);
            return;
        }
        const std::size_t i = indexOf(*choice.endpoint);
        const double ms = double(choice.tokensToRead) / (TokensPerMs * engines[i]);
        freeAt[i] = std::max(freeAt[i], now) + duration(ms * noise(random));
        const units::TimePoint first = freeAt[i] + duration(FixedMs * noise(random));
        events.emplace(first, std::pair(lastTicket(), PlacementEvent::FirstEvent));
        events.emplace(first + duration(300), std::pair(lastTicket(), PlacementEvent::Completed));
    }

    static std::size_t indexOf(const EndpointStatus &endpoint)
    {
        return std::size_t(std::stoi(endpoint.registration.id.value().substr(1)));
    }
    double speedOf(std::size_t i) const
    {
        const auto status = registry.findAvailable(units::EndpointId("e" + std::to_string(i)));
        return placer.speeds().relativeSpeed(TestPool, status->registration, now);
    }

    std::vector<double> engines;
    std::vector<units::TimePoint> freeAt;
    std::multimap<units::TimePoint, std::pair<PlacementTicket, PlacementEvent>> events;
    std::mt19937 random{11};
};

const std::vector<double> Mixed{0.7, 0.7, 1.7, 0.7, 0.7, 1.7};

} // namespace

TEST_CASE("PlacerSpeeds.EnginesOfDifferentSpeedsAreToldApartUnderLoad")
{
    // Guards against speeds that are learned only while endpoints are idle, or wrong under load.
    for (const double intervalMs : {40.0, 12.0, 8.0}) {
        Simulation simulation(Mixed);
        simulation.run(std::chrono::seconds(30), intervalMs);
        for (std::size_t i = 0; i < Mixed.size(); ++i) {
            const double relative = simulation.speedOf(i) / simulation.speedOf(0);
            const double expected = Mixed[i] / Mixed[0];
            CHECK_MESSAGE(relative > expected * 0.75, "interval ", intervalMs, ", e", i, ": ",
                          relative, " of ", expected);
            CHECK_MESSAGE(relative < expected * 1.25, "interval ", intervalMs, ", e", i, ": ",
                          relative, " of ", expected);
        }
    }
}

TEST_CASE("PlacerSpeeds.EqualEnginesStayAtExactlyOne")
{
    // Guards against a change of placement in pools of equal endpoints.
    for (const double intervalMs : {40.0, 12.0, 8.0}) {
        Simulation simulation(std::vector<double>(6, 1));
        int different = 0;
        simulation.run(std::chrono::seconds(30), intervalMs, [&] {
            for (std::size_t i = 0; i < 6; ++i)
                different += simulation.speedOf(i) == 1 ? 0 : 1;
        });
        CHECK_MESSAGE(different == 0, "interval ", intervalMs, ": ", different, " times not 1");
    }
}

TEST_CASE("PlacerSpeeds.ExpectedFirstEventFollowsTheSpeedOfTheEndpoint")
{
    // Guards against endpoints that are steadily slower and therefore count as failing, and against
    // a guess that is sent before the rate of the pool is known.
    Simulation simulation(Mixed);
    CHECK(simulation.place(modelQuery("", 0, 6000)).expectedFirstEvent == units::Duration::zero());
    simulation.run(std::chrono::seconds(20), 40);
    simulation.now += std::chrono::seconds(15);
    for (int i = 0; i < 6; ++i) {
        // The choice of an idle endpoint.
        const PlacementChoice choice = simulation.place(modelQuery("", 0, 6000));
        REQUIRE(choice.endpoint != nullptr);
        const double speed = Mixed[Simulation::indexOf(*choice.endpoint)];
        const double tokens = double(simulation.placer.tokensToRead(*choice.endpoint));
        const double expected = FixedMs + tokens / (TokensPerMs * speed);
        const double ms = Milliseconds(choice.expectedFirstEvent).count();
        CHECK_MESSAGE(ms > expected * 0.85, ms, " ms instead of ", expected);
        CHECK_MESSAGE(ms < expected * 1.15, ms, " ms instead of ", expected);
        CHECK(simulation.placer.choiceOf(simulation.lastTicket())->expectedFirstEvent
              == choice.expectedFirstEvent);
    }
}

TEST_CASE("PlacerSpeeds.EndpointThatRestartsUnderItsIdIsLearnedAgain")
{
    // Guards against the speed of the earlier instance, whose requests still end.
    Simulation simulation(Mixed);
    simulation.run(std::chrono::seconds(20), 12);
    REQUIRE(simulation.speedOf(2) > 1.3);
    DiscoveredEndpoint restarted
        = simulation.registry.findAvailable(units::EndpointId("e2"))->registration;
    restarted.incarnation = Incarnation(2);
    simulation.registry.update(restarted);
    simulation.engines[2] = 0.7;
    CHECK(simulation.speedOf(2) == 1);
    simulation.run(std::chrono::seconds(20), 12);
    CHECK(simulation.speedOf(2) < 1);
}
