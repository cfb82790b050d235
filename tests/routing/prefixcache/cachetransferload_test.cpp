#include "../simulatedpool.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <ostream>

using namespace monsoongrade;
using namespace monsoongrade::routing;

namespace {

constexpr CacheTransfer FastLinks{163840, 1.1e6};
constexpr CacheTransfer LinksOfFastEngines{18432, 88000};

SimulatedOutcome playWithCommonPart(std::optional<CacheTransfer> transfer, std::size_t cachedParts)
{
    SimulatedPool::Options options;
    options.endpoints = 12;
    options.length = std::chrono::seconds(20);
    options.engine.prefillTokensPerMs = 61.2;
    options.engine.stepMs = 3.37;
    options.engine.stepMsPerStream = 0.011;
    options.engine.cachedParts = cachedParts;
    options.cacheTransfer = transfer;
    return SimulatedPool(options, overloadWithCommonPart()).play().at("report");
}

double meanFirstEventMs(const SimulatedOutcome &outcome)
{
    return outcome.firstEventMs / std::max(1, outcome.firstEvents);
}

std::string textOf(const SimulatedOutcome &outcome)
{
    return "asked " + std::to_string(outcome.asked) + ", served " + std::to_string(outcome.served())
        + ", on time " + std::to_string(outcome.onTime) + ", refused "
        + std::to_string(outcome.refused) + ", left " + std::to_string(outcome.left) + ", cut "
        + std::to_string(outcome.cut) + ", shared tokens prefilled again "
        + std::to_string(outcome.sharedPrefilledAgain) + ", copies "
        + std::to_string(outcome.copies) + ", failed copies " + std::to_string(outcome.failedCopies)
        + ", mean first event ms " + std::to_string(meanFirstEventMs(outcome));
}

} // namespace

// Guards against requests that wait for the endpoints that hold a common prefix, or prefill it
// again, while others could copy it.
TEST_CASE("CacheTransferLoad.CommonPrefixIsCopiedInAnOverload")
{
    const SimulatedOutcome without = playWithCommonPart(std::nullopt, 45);
    const SimulatedOutcome with = playWithCommonPart(FastLinks, 45);
    const std::string figures = "without copies: " + textOf(without) + "; with: " + textOf(with);
    CHECK_MESSAGE(with.copies > 0, figures);
    CHECK_MESSAGE(with.sharedPrefilledAgain * 2 <= without.sharedPrefilledAgain, figures);
    CHECK_MESSAGE(meanFirstEventMs(with) <= meanFirstEventMs(without) * 2 / 3, figures);
    CHECK_MESSAGE(with.onTime > without.onTime, figures);
    CHECK_MESSAGE(with.failedCopies == 0, figures);
}

// Guards against requests that are lost when the source has evicted the prefix. The caches are so
// small that this happens all the time.
TEST_CASE("CacheTransferLoad.RequestsAreServedWhenSourcesNoLongerHoldThePrefix")
{
    const SimulatedOutcome without = playWithCommonPart(std::nullopt, 22);
    const SimulatedOutcome outcome = playWithCommonPart(FastLinks, 22);
    const std::string figures = "without copies: " + textOf(without) + "; with: " + textOf(outcome);
    CHECK_MESSAGE(outcome.failedCopies > 0, figures);
    CHECK_MESSAGE(outcome.served() + outcome.refused + outcome.left + outcome.cut == outcome.asked,
                  figures);
    CHECK_MESSAGE(outcome.served() >= without.served() * 9 / 10, figures);
}

// Guards against copies between engines that prefill fast in relation to their links. In an
// overload their measured rate falls to a third; copies then evict prefixes that are in use, and
// 2,430 requests were served where 2,887 are without copies.
TEST_CASE("CacheTransferLoad.FastEnginesWithSlowLinksDoNotCopyInAnOverload")
{
    SimulatedPool::Options options;
    options.endpoints = 12;
    options.length = std::chrono::seconds(20);
    options.cacheTransfer = LinksOfFastEngines;
    for (const auto &each : SimulatedPool(options, burstOfLongPrompts(0.2)).play())
        CHECK_MESSAGE(each.second.copies + each.second.failedCopies == 0, each.first, ": ",
                      textOf(each.second));
}
