#include "../fixedspeeds.h"
#include "../placerfixture.h"
#include "../simulatedpool.h"

#include <doctest/doctest.h>

#include <map>

using namespace monsoongrade;
using namespace monsoongrade::routing;

namespace {

struct Result
{
    int onTime = 0;
    int late = 0; // the first event
    int withLongGaps = 0;
    int longRefused = 0;
};

// Long prompts keep engines of speeds 0.7, 0.7 and 1.7 prefilling for more than half of their time.
Result play(bool ignoresSpeeds)
{
    constexpr unsigned Seeds = 4;
    Result result;
    for (unsigned seed = 1; seed <= Seeds; ++seed) {
        SimulatedPool::Options options;
        options.seed = seed;
        options.endpoints = 12;
        options.length = std::chrono::seconds(16);
        options.engine.prefillTokensPerMs = 61.2;
        options.engine.stepMs = 3.37;
        options.engine.stepMsPerStream = 0.011;
        options.engine.attentionMsPerMillionPairs = 0.35;
        options.engine.speeds = {0.7, 0.7, 1.7};
        options.ignoresSpeeds = ignoresSpeeds;
        SimulatedPool pool(options, longPromptsAmongShortStreams(options.endpoints));
        const auto outcomes = pool.play();
        for (const auto &[name, outcome] : outcomes) {
            result.onTime += outcome.onTime;
            result.late += outcome.firstLate;
            result.withLongGaps += outcome.paused;
        }
        result.longRefused += outcomes.at("long").refused;
    }
    return result;
}

} // namespace

// Guards against endpoints of different speeds that get the same work.
TEST_CASE("RequestPlacer.FasterEndpointGetsMoreWork")
{
    PlacerFixture fixture(2);
    FixedSpeeds speeds;
    speeds.speeds = {{"e0", 0.7}, {"e1", 1.7}};
    fixture.placer.setSpeedModel(&speeds);
    std::map<std::string, int> placed;
    for (int i = 0; i < 24; ++i)
        ++placed[fixture.place(modelQuery("", 0, 1000)).endpoint->registration.id.value()];
    CHECK(placed["e1"] == 17);
    CHECK(placed["e0"] == 7);
}

// Guards against slow engines that get as much work as fast ones, so that their streams have gaps
// and first events that are too late while fast engines are idle.
TEST_CASE("SpeedAwarePlacement.LearnedSpeedsServeCallersBetter")
{
    const Result learned = play(false);
    const Result ignored = play(true);
    INFO("learned: on time ", learned.onTime, ", late ", learned.late, ", long gaps ",
         learned.withLongGaps, ", refused ", learned.longRefused, "; ignored: on time ",
         ignored.onTime, ", late ", ignored.late, ", long gaps ", ignored.withLongGaps,
         ", refused ", ignored.longRefused);
    CHECK(learned.onTime > ignored.onTime);
    CHECK(learned.late < ignored.late);
    CHECK(learned.longRefused < ignored.longRefused);
    CHECK(learned.withLongGaps < ignored.withLongGaps);
}
