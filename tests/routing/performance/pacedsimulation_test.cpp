#include "../simulatedpool.h"

#include <doctest/doctest.h>

using namespace monsoongrade;
using namespace monsoongrade::routing;

namespace {

constexpr unsigned Seeds = 8;

struct Result
{
    SimulatedOutcome longest;
    SimulatedOutcome brief;
    double prefillShare = 0;
    std::int64_t paced = 0;
};

void add(SimulatedOutcome &sum, const SimulatedOutcome &outcome)
{
    sum.asked += outcome.asked;
    sum.onTime += outcome.onTime;
    sum.firstLate += outcome.firstLate;
    sum.paused += outcome.paused;
    sum.refused += outcome.refused;
    sum.largest += outcome.largest;
    sum.largestServed += outcome.largestServed;
}

Result play(const std::vector<double> &speeds, bool pacesPrefill)
{
    Result result;
    for (unsigned seed = 1; seed <= Seeds; ++seed) {
        SimulatedPool::Options options;
        options.seed = seed;
        options.endpoints = 12;
        options.length = std::chrono::seconds(8);
        options.engine.prefillTokensPerMs = 61.2;
        options.engine.stepMs = 3.37;
        options.engine.stepMsPerStream = 0.011;
        options.engine.attentionMsPerMillionPairs = 0.35; // 93 ms for a chunk of a long prompt
        options.engine.speeds = speeds;
        options.knowsSpeeds = true;
        options.pacesPrefill = pacesPrefill;
        SimulatedPool pool(options, longPromptsAmongShortStreams(options.endpoints));
        const auto outcomes = pool.play();
        add(result.longest, outcomes.at("long"));
        add(result.brief, outcomes.at("short"));
        result.prefillShare += pool.prefillShare() / Seeds;
        result.paced += pool.prefillsPaced();
    }
    return result;
}

std::string textOf(const Result &result)
{
    const auto text = [](const SimulatedOutcome &outcome) {
        return std::to_string(outcome.asked) + " asked, " + std::to_string(outcome.onTime)
            + " on time, " + std::to_string(outcome.firstLate) + " late, "
            + std::to_string(outcome.paused) + " with long gaps, " + std::to_string(outcome.refused)
            + " refused, largest " + std::to_string(outcome.largestServed) + " of "
            + std::to_string(outcome.largest);
    };
    return "long: " + text(result.longest) + "; short: " + text(result.brief) + "; prefilling "
        + std::to_string(result.prefillShare) + ", paced " + std::to_string(result.paced);
}

} // namespace

// Guards against event gaps of short streams that are too long because their endpoint prefills one
// long prompt after another, and against pacing that costs long prompts their service.
TEST_CASE("PrefillPacing.FewerGapsAreTooLongWhileLongPromptsAreServed")
{
    struct Case
    {
        std::vector<double> speeds;
        double maxShareOfGaps;
    };
    for (const auto &[speeds, maxShareOfGaps] : {Case{{0.7, 0.7, 1.7}, 0.67}, Case{{1.0}, 0.9}}) {
        const Result today = play(speeds, false);
        const Result paced = play(speeds, true);
        MESSAGE("without pacing: ", textOf(today));
        MESSAGE("with pacing: ", textOf(paced));
        CHECK(today.prefillShare > 0.5);
        CHECK(today.paced == 0);
        CHECK(paced.paced > 0);
        CHECK(paced.brief.paused < maxShareOfGaps * today.brief.paused);
        CHECK(paced.brief.onTime >= today.brief.onTime);
        CHECK(paced.longest.onTime > 0.96 * today.longest.onTime);
        const double all = double(paced.longest.served()) / paced.longest.asked;
        const double largest = double(paced.longest.largestServed) / paced.longest.largest;
        CHECK(largest > 0.9 * all);
    }
}
