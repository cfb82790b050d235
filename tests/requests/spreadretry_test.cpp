#include <requests/internal/spreadretry.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <map>

namespace monsoongrade::requests::internal {

// An engine with a thousand open requests crashes. All callers are refused at the same moment; if
// all are told the same time, they come back in the same second and are refused again.
TEST_CASE("spreadRetry.RefusedTogetherDoNotComeBackTogether")
{
    constexpr auto Shortest = std::chrono::seconds(2);
    std::map<std::chrono::seconds, int> returnsBySecond;
    int most = 0;
    for (int i = 0; i < 1000; ++i) {
        const units::RequestId request("a.router.1-" + std::to_string(i));
        const units::Duration wait = spreadRetry(Shortest, request);
        CHECK(wait >= Shortest);
        CHECK(wait < 4 * Shortest);
        CHECK(wait == spreadRetry(Shortest, request));
        const auto second = std::chrono::duration_cast<std::chrono::seconds>(wait);
        most = std::max(most, ++returnsBySecond[second]);
    }
    CHECK_MESSAGE(most < 250, "returns in the busiest second, of 1,000 refused: ", most);
}

} // namespace monsoongrade::requests::internal
