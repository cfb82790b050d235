#include <monsoongrade/routing/shortpausereserve.h>

#include <doctest/doctest.h>

#include <string>

using namespace monsoongrade;
using namespace monsoongrade::routing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr units::TimePoint Start = units::TimePoint(std::chrono::hours(1));
const units::PoolName Pool("p");

std::vector<EndpointRegistry::Status> endpoints(int count)
{
    std::vector<EndpointRegistry::Status> result;
    for (int i = 0; i < count; ++i) {
        result.push_back(std::make_shared<EndpointStatus>());
        result.back()->registration.slots = 64;
        result.back()->registration.id = units::EndpointId("e" + std::to_string(i));
    }
    return result;
}

void open(ShortPauseReserve &reserve, int streams)
{
    for (int i = 0; i < streams; ++i)
        reserve.opened(Pool);
}

} // namespace

TEST_CASE("ShortPauseReserve.PausesNearAStepWithReadingAreShort")
{
    const auto isShort = [](int pause, int tokens) {
        Route route;
        route.kind = RouteKind::Stream;
        route.maxEventGap = milliseconds(pause);
        return needsShortPauses(route, tokens);
    };
    CHECK(isShort(200, 5));
    CHECK(isShort(200, 6));
    CHECK_FALSE(isShort(300, 6));
    CHECK_FALSE(isShort(800, 6));
}

TEST_CASE("ShortPauseReserve.KeepsTheSameEndpointsAfterARestart")
{
    // All hosts lose power and come back with nothing in memory. Prompt parts are where the placing
    // host before put them, outside of the kept endpoints. With none kept at first, the new one
    // would look for some parts on an endpoint that never had them, and have them read again.
    const auto all = endpoints(9);
    ShortPauseReserve before;
    open(before, 20);
    const auto kept = before.endpoints(Pool, all, Start, 1);
    ShortPauseReserve after;
    CHECK(after.endpoints(Pool, all, Start, 1) == kept);
}

TEST_CASE("ShortPauseReserve.SizeFollowsTheOpenStreams")
{
    ShortPauseReserve reserve;
    const auto all = endpoints(60);
    CHECK(reserve.endpoints(Pool, all, Start, 0).empty());
    open(reserve, 1);
    CHECK(reserve.endpoints(Pool, all, Start, 0).size() == 1);
    open(reserve, 200); // 201 streams, 38.4 on each endpoint
    CHECK(reserve.endpoints(Pool, all, Start, 0).size() == 6);
}

TEST_CASE("ShortPauseReserve.ShrinksOnlyAfterTheLoadStayedLow")
{
    // Traffic comes in waves. If the reserve followed each, endpoints would change sides every
    // second and the prompt parts on them would be read again elsewhere.
    ShortPauseReserve reserve;
    const auto all = endpoints(60);
    open(reserve, 200);
    const auto before = reserve.endpoints(Pool, all, Start, 0);
    for (int i = 0; i < 199; ++i)
        reserve.ended(Pool);
    CHECK(reserve.endpoints(Pool, all, Start + seconds(4), 0) == before);
    CHECK(reserve.endpoints(Pool, all, Start + seconds(6), 0).size() == 1);
}

TEST_CASE("ShortPauseReserve.GrowingKeepsTheEndpointsThatItHas")
{
    ShortPauseReserve reserve;
    const auto all = endpoints(60);
    open(reserve, 100);
    const auto before = reserve.endpoints(Pool, all, Start, 0);
    open(reserve, 200);
    const auto after = reserve.endpoints(Pool, all, Start, 0);
    for (const EndpointStatus *endpoint : before)
        CHECK(after.count(endpoint) == 1);
}

TEST_CASE("ShortPauseReserve.TakesAtMostHalfAndNoneThatIsLeaving")
{
    ShortPauseReserve reserve;
    const auto all = endpoints(9);
    open(reserve, 10000);
    CHECK(reserve.endpoints(Pool, all, Start, 0).size() == 4);
    const auto kept = reserve.endpoints(Pool, all, Start, 0);
    for (const auto &endpoint : all)
        endpoint->leaving = kept.count(endpoint.get()) != 0;
    const auto &after = reserve.endpoints(Pool, all, Start + seconds(1), 0);
    CHECK(after.size() == 2);
    for (const EndpointStatus *endpoint : after)
        CHECK_FALSE(endpoint->leaving);
}
