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
            for (int i = 0; i < 2; ++i)
                ask("high-" + std::to_string(step) + "-" + std::to_string(i), "high");
            for (const char *name : {"middle-a", "middle-b", "low"})
                ask(std::string(name) + "-" + std::to_string(step), name);
            clock.advance(std::chrono::milliseconds(100));
            scheduler.tick();
            count();
            release(released_++);
        }
    }

    std::map<std::string, int> longestGap;
    std::size_t lowerGrants = 0;

private:
    void count()
    {
        for (; counted_ < sink.grants.size(); ++counted_) {
            const std::string &request = sink.grants[counted_].request.value();
            for (auto &[name, since] : since_) {
                const bool isOwn = request.compare(0, name.size(), name) == 0;
                longestGap[name] = std::max(longestGap[name], ++since);
                since = isOwn ? 0 : since;
                lowerGrants += isOwn && name != "high" ? 1 : 0;
            }
        }
    }

    std::map<std::string, int> since_ = {{"high", 0}, {"middle-a", 0}, {"middle-b", 0}, {"low", 0}};
    std::size_t counted_ = 0;
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
    CHECK(static_cast<double>(lowerGrants)
          <= policy.guaranteedShare * static_cast<double>(sink.grants.size()) + 4);
}

} // namespace monsoongrade::scheduling
