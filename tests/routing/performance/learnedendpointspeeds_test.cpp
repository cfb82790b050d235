#include <monsoongrade/routing/performance/learnedendpointspeeds.h>

#include <doctest/doctest.h>

#include <cmath>
#include <initializer_list>
#include <random>

using namespace monsoongrade;
using namespace monsoongrade::routing;
using namespace monsoongrade::routing::performance;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const units::PoolName Pool("p");

DiscoveredEndpoint endpoint(const std::string &id, std::int64_t incarnation = 1)
{
    DiscoveredEndpoint endpoint;
    endpoint.id = units::EndpointId(id);
    endpoint.incarnation = Incarnation(incarnation);
    return endpoint;
}

struct Fixture
{
    // Adds samples of prefills that would take 100 ms at speed 1, one each 200 ms.
    void addSamples(const DiscoveredEndpoint &of, double speed, int samples, double deviation = 0)
    {
        std::normal_distribution<double> noise(1, deviation);
        for (int i = 0; i < samples; ++i) {
            now += milliseconds(200);
            const double factor = deviation == 0 ? 1 : std::max(noise(random), 0.1);
            const std::chrono::duration<double, std::milli> took(100 / speed * factor);
            speeds.onPrefillDone(Pool, of, 6000, std::chrono::duration_cast<units::Duration>(took),
                                 milliseconds(100), now);
        }
    }
    double speedOf(const DiscoveredEndpoint &of) const
    {
        return speeds.relativeSpeed(Pool, of, now);
    }

    LearnedEndpointSpeeds speeds;
    std::mt19937 random{7};
    units::TimePoint now{std::chrono::hours(1)};
};

bool isNear(double value, double expected)
{
    return value > expected * 0.9 && value < expected * 1.1;
}

} // namespace

TEST_CASE("LearnedEndpointSpeeds.TellsSpeedsApartInSpiteOfNoise")
{
    // Guards against endpoints of the speeds 0.7, 0.7 and 1.7 that get equal work.
    for (const double speed : {0.7, 1.7}) {
        Fixture fixture;
        fixture.addSamples(endpoint("e"), speed, 40, 0.15);
        CHECK_MESSAGE(isNear(fixture.speedOf(endpoint("e")), speed), "expected about ", speed,
                      ", got ", fixture.speedOf(endpoint("e")));
        CHECK(!fixture.speeds.isSlowNow(endpoint("e"), fixture.now));
    }
}

TEST_CASE("LearnedEndpointSpeeds.EqualEndpointsStayAtExactlyOne")
{
    // Guards against noise that changes the placement in pools of equal endpoints.
    Fixture fixture;
    for (int i = 0; i < 2000; ++i) {
        fixture.addSamples(endpoint("e"), 1, 1, 0.2);
        REQUIRE_MESSAGE(fixture.speedOf(endpoint("e")) == 1, "after ", i + 1, " samples got ",
                        fixture.speedOf(endpoint("e")));
    }
}

TEST_CASE("LearnedEndpointSpeeds.SingleSampleHasLimitedInfluence")
{
    // Guards against one prefill that hangs for seconds and makes its endpoint look slow.
    Fixture fixture;
    fixture.addSamples(endpoint("e"), 1, 20);
    fixture.addSamples(endpoint("e"), 0.02, 1);
    CHECK(fixture.speedOf(endpoint("e")) == 1);
    CHECK(!fixture.speeds.isSlowNow(endpoint("e"), fixture.now));
}

TEST_CASE("LearnedEndpointSpeeds.EstimateIsBoundedAndExpires")
{
    // Guards against an endpoint that is never used again because of an extreme or old estimate.
    Fixture fixture;
    fixture.addSamples(endpoint("e"), 0.01, 20);
    CHECK(fixture.speedOf(endpoint("e")) == doctest::Approx(EndpointSpeed::MinSpeed));
    fixture.now += seconds(61);
    CHECK(fixture.speedOf(endpoint("e")) == 1);
    CHECK(!fixture.speeds.range(fixture.now));
}

TEST_CASE("LearnedEndpointSpeeds.SlowPeriodIsNoticedAndEnds")
{
    // Guards against work for an endpoint that is slow for some seconds, and against an endpoint
    // that is avoided after that.
    Fixture fixture;
    fixture.addSamples(endpoint("e"), 1, 40);
    fixture.addSamples(endpoint("e"), 0.33, 8);
    CHECK(fixture.speeds.isSlowNow(endpoint("e"), fixture.now));
    CHECK(fixture.speedOf(endpoint("e")) < 0.6);

    // Without samples, because the endpoint is avoided.
    CHECK(!fixture.speeds.isSlowNow(endpoint("e"), fixture.now + seconds(3)));
    CHECK(fixture.speeds.relativeSpeed(Pool, endpoint("e"), fixture.now + seconds(3)) > 0.75);

    fixture.addSamples(endpoint("e"), 1, 10);
    CHECK(!fixture.speeds.isSlowNow(endpoint("e"), fixture.now));
    CHECK(fixture.speedOf(endpoint("e")) > 0.8);
}

TEST_CASE("LearnedEndpointSpeeds.RestartedEndpointStartsFromOne")
{
    // Guards against the speed of an earlier machine, also if a late first event of the earlier
    // instance arrives after the restart.
    Fixture fixture;
    fixture.addSamples(endpoint("e", 1), 0.5, 20);
    CHECK(fixture.speedOf(endpoint("e", 2)) == 1);
    fixture.addSamples(endpoint("e", 2), 1.7, 20);
    fixture.addSamples(endpoint("e", 1), 0.5, 1);
    CHECK(isNear(fixture.speedOf(endpoint("e", 2)), 1.7));
}

TEST_CASE("LearnedEndpointSpeeds.NewCoordinatorStartsFromReceivedSpeeds")
{
    // Guards against a new coordinator that learns all speeds again, keeps old ones for ever, or
    // replaces its own by those of a host that was coordinator before.
    Fixture first;
    first.addSamples(endpoint("e"), 1.7, 40);
    const std::vector<LearnedSpeed> sent = first.speeds.takeDue(20, first.now + seconds(10));
    REQUIRE(sent.size() == 1);

    Fixture second;
    second.speeds.addReceived(sent[0], second.now);
    CHECK(isNear(second.speedOf(endpoint("e")), 1.7));
    CHECK(second.speeds.relativeSpeed(Pool, endpoint("e"), second.now + seconds(49)) > 1.5);
    CHECK(second.speeds.relativeSpeed(Pool, endpoint("e"), second.now + seconds(51)) == 1);

    second.addSamples(endpoint("e"), 0.7, 100);
    second.speeds.addReceived(sent[0], second.now);
    CHECK(isNear(second.speedOf(endpoint("e")), 0.7));
}

TEST_CASE("LearnedEndpointSpeeds.SendsLeastRecentlySentFirst")
{
    // Guards against endpoints whose speeds are never sent, and against a lost datagram whose
    // speeds are not sent again.
    Fixture fixture;
    const auto sampleAll = [&] {
        for (int i = 0; i < 50; ++i)
            fixture.addSamples(endpoint("e" + std::to_string(i)), i == 0 ? 1 : 1.7, 1);
    };
    std::unordered_map<std::string, int> sent;
    for (int round = 0; round < 6; ++round) {
        sampleAll();
        const std::vector<LearnedSpeed> speeds = fixture.speeds.takeDue(20, fixture.now);
        CHECK(speeds.size() == 20);
        for (const LearnedSpeed &speed : speeds)
            ++sent[speed.endpoint.id.value()];
        CHECK(fixture.speeds.takeDue(20, fixture.now + seconds(1)).empty());
    }
    CHECK(sent.size() == 49); // all but the one of speed 1
    for (const auto &each : sent)
        CHECK_MESSAGE(each.second >= 2, each.first, " was sent ", each.second, " times");
}

TEST_CASE("LearnedEndpointSpeeds.InvalidReceivedSpeedsAreIgnored")
{
    // Guards against a damaged datagram that makes an endpoint infinitely cheap.
    Fixture fixture;
    for (const double speed : {0.0, -1.0, std::nan("")})
        fixture.speeds.addReceived({instanceOf(endpoint("e")), speed, 20}, fixture.now);
    CHECK(fixture.speedOf(endpoint("e")) == 1);
    fixture.speeds.addReceived({instanceOf(endpoint("e")), 1000, 20}, fixture.now);
    CHECK(fixture.speedOf(endpoint("e")) == doctest::Approx(EndpointSpeed::MaxSpeed));
}

TEST_CASE("LearnedEndpointSpeeds.ReportsChangesByAQuarterOnce")
{
    // Guards against a log line for each sample.
    Fixture fixture;
    fixture.addSamples(endpoint("e"), 1.7, 20);
    const std::vector<LearnedSpeed> changed = fixture.speeds.takeChanged(5, fixture.now);
    REQUIRE(changed.size() == 1);
    CHECK(isNear(changed[0].relativeSpeed, 1.7));
    CHECK(fixture.speeds.takeChanged(5, fixture.now).empty());
}
