#include <scheduling/cellfixture.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <map>

namespace monsoongrade::scheduling {

namespace {

// Keeps the highest tier overloaded and one ask of each lower class waiting, for an hour of
// injected time. Counts the grants between two of a class.
class OverloadFixture : public CellFixture
{
public:
    OverloadFixture()
    {
        addClass("middle-a", 1);
        addClass("middle-b", 1);
        policy.classes.erase(units::ClassName("low"));
        addClass("low", 2);
        policy.queueLimit = 100;
        policy.endpoints = {{units::EndpointId("engine"), 4}};
        scheduler.configure(policy);
    }

    void run()
    {
        for (int step = 0; step < 36000; ++step) {
            ask("high-" + std::to_string(2 * step), "high");
            ask("high-" + std::to_string(2 * step + 1), "high");
            for (const char *name : {"middle-a", "middle-b", "low"})
                ask(std::string(name) + "-" + std::to_string(step), name);
            clock.advance(std::chrono::milliseconds(100));
            scheduler.tick();
            count();
            const SlotGrant &grant = sink.grants[released_];
            const std::string name = classOf(grant);
            const bool leaves = lowCallersLeave && lowSeen_ && name == "low";
            lowSeen_ = lowSeen_ || name == "low";
            const std::int64_t used = leaves ? TokensBeforeLeaving : tokensOf(grant);
            lowTokensUsed += name == "low" ? used : 0;
            release(released_++, leaves ? ReleaseOutcome::CallerLeft : ReleaseOutcome::Completed,
                    std::chrono::seconds(1), used);
        }
    }

    std::map<std::string, std::int64_t> lengths;
    std::map<std::string, int> longestGap;
    std::int64_t longestGapOfLowInTokens = 0;
    std::int64_t tokens = 0;
    std::int64_t lowerTokens = 0;
    // All callers of the lowest tier but the first leave after a few tokens.
    bool lowCallersLeave = false;
    std::int64_t lowTokensUsed = 0;

    static constexpr std::int64_t TokensBeforeLeaving = 10;

private:
    static std::string classOf(const SlotGrant &grant)
    {
        const std::string &request = grant.request.value();
        return request.substr(0, request.rfind('-'));
    }

    std::int64_t tokensOf(const SlotGrant &grant) const
    {
        const auto found = lengths.find(classOf(grant));
        return found == lengths.end() ? 10 : found->second;
    }

    void count()
    {
        for (; counted_ < sink.grants.size(); ++counted_) {
            const std::string &request = sink.grants[counted_].request.value();
            const std::int64_t cost = tokensOf(sink.grants[counted_]);
            tokens += cost;
            lowerTokens += request.compare(0, 4, "high") == 0 ? 0 : cost;
            sinceLow_ = request.compare(0, 3, "low") == 0 ? 0 : sinceLow_ + cost;
            longestGapOfLowInTokens = std::max(longestGapOfLowInTokens, sinceLow_);
            for (auto &[name, since] : since_) {
                const bool isOwn = request.compare(0, name.size(), name) == 0;
                longestGap[name] = std::max(longestGap[name], ++since);
                since = isOwn ? 0 : since;
            }
        }
    }

    std::map<std::string, int> since_ = {{"high", 0}, {"middle-a", 0}, {"middle-b", 0}, {"low", 0}};
    std::int64_t sinceLow_ = 0;
    std::size_t counted_ = 0;
    bool lowSeen_ = false;
    std::size_t released_ = 0;
};

} // namespace

// The highest tier asks for twice what there is, for an hour. Volunteers pricing items would
// wait for ever in a strict order; each class must be served within its bound, and the highest
// tier must not lose more than the share.
TEST_CASE_FIXTURE(OverloadFixture, "CellScheduler.NoClassStarvesUnderAnOverloadOfTheHighestTier")
{
    run();
    const int bound = GuaranteedShare::bound(policy.guaranteedShare, 2);
    CHECK(longestGap["low"] <= bound);
    // Two classes of the same weight and lengths take turns in their tier's grants.
    CHECK(longestGap["middle-a"] <= 2 * bound);
    CHECK(longestGap["middle-b"] <= 2 * bound);
    CHECK(static_cast<double>(lowerTokens)
          <= policy.guaranteedShare * static_cast<double>(tokens) + 4 * 10);
}

// As before, but an answer of the lowest tier is twenty times as long as one of the highest. A
// share counted in grants would give it half of the tokens.
TEST_CASE_FIXTURE(OverloadFixture,
                  "CellScheduler.LongAnswersOfLowerTiersTakeTheirShareOfTokensOnly")
{
    lengths = {{"high", 20}, {"middle-a", 40}, {"middle-b", 40}, {"low", 400}};
    run();
    CHECK(static_cast<double>(lowerTokens)
          <= policy.guaranteedShare * static_cast<double>(tokens) + 2 * (400 + 40));
    CHECK(static_cast<double>(longestGapOfLowInTokens)
          <= 400 * 2 / policy.guaranteedShare + 2 * 2 * 40);
}

// The lowest tier's answers are expected to be ten times as long as its callers stay for, and one
// that is left teaches the estimate nothing. Charged with the estimate, the tier would get a tenth
// of its share for ever.
TEST_CASE_FIXTURE(OverloadFixture, "CellScheduler.AGuaranteedShareIsOfTheTokensReallyUsed")
{
    lengths = {{"high", 20}, {"middle-a", 20}, {"middle-b", 20}, {"low", 100}};
    lowCallersLeave = true;
    run();
    const auto all = static_cast<double>(36000 * 20);
    CHECK(static_cast<double>(lowTokensUsed) >= 0.9 * policy.guaranteedShare / 2 * all);
}

} // namespace monsoongrade::scheduling
