#include "simulatedpool.h"

#include <doctest/doctest.h>

using namespace monsoongrade;
using namespace monsoongrade::routing;

TEST_CASE("PlacementBurst.SummariesStayOnTimeBesideABurstOfColdPrompts")
{
    // All coaches ask for breakdowns at once and no prompt is cached: they arrive faster than they
    // can be read. Summaries of a higher tier, which may pause for 200 ms only, come beside them.
    // Without endpoints of their own, most summaries pause too long; without waiting at the placing
    // host, the endpoints' queues grow and first events of all classes are late.
    SimulatedPool::Options options;
    options.endpoints = 12;
    options.length = std::chrono::seconds(5);
    SimulatedPool pool(options, burstOfLongPrompts(0.2));
    const auto outcomes = pool.play();
    const SimulatedOutcome &summaries = outcomes.at("summary");
    CHECK_MESSAGE(summaries.onTime > summaries.asked * 9 / 10, "expected nine of ten on time, got ",
                  summaries.onTime, " of ", summaries.asked, "; paused ", summaries.paused,
                  ", first event late ", summaries.firstLate);
    const SimulatedOutcome &breakdowns = outcomes.at("breakdown");
    CHECK_MESSAGE(breakdowns.onTime > breakdowns.asked / 4, "on time ", breakdowns.onTime, " of ",
                  breakdowns.asked);
    CHECK_MESSAGE(breakdowns.left == 0, breakdowns.left, " callers left without a word");
    CHECK(breakdowns.refused > 0);
}
