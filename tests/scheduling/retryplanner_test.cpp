#include <monsoongrade/scheduling/retryplanner.h>

#include <doctest/doctest.h>

#include <map>
#include <string>

namespace monsoongrade::scheduling {

// A thousand coaches are refused in one moment by a cell that serves twenty a second. Told the
// same time they would all be back, and refused, together.
TEST_CASE("RetryPlanner.SpreadsARefusedAudienceAtTheDrainRate")
{
    RetryPlanner planner;
    const units::TimePoint now{std::chrono::hours(1)};
    std::map<std::int64_t, int> perSecond;
    for (int i = 0; i < 1000; ++i) {
        const units::Duration wait = planner.retryAfter(
            units::Tier(0), units::RequestId("request-" + std::to_string(i)), 100, 20, now);
        CHECK(wait > units::Duration::zero());
        ++perSecond[std::chrono::duration_cast<std::chrono::seconds>(wait).count()];
    }
    for (const auto &entry : perSecond)
        CHECK_MESSAGE(entry.second <= 40, "in second " << entry.first);
}

TEST_CASE("RetryPlanner.TellsNobodyLongerThanTwoMinutes")
{
    RetryPlanner planner;
    const units::TimePoint now{std::chrono::hours(1)};
    for (int i = 0; i < 1000; ++i) {
        const units::Duration wait = planner.retryAfter(
            units::Tier(1), units::RequestId("request-" + std::to_string(i)), 10000, 1, now);
        CHECK(wait <= std::chrono::minutes(2));
        CHECK(wait >= std::chrono::minutes(1));
    }
}

} // namespace monsoongrade::scheduling
