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
        reserve.onStreamOpened(Pool);
}

} // namespace

TEST_CASE("ShortPauseReserve.GapsNearStepTimeWithChunkAreShort")
{
    const auto isShort = [](int gap, int tokens) {
        Route route;
        route.kind = RouteKind::Stream;
        route.maxEventGap = milliseconds(gap);
        return needsShortPauses(route, tokens);
    };
    CHECK(isShort(200, 5));
    CHECK(isShort(200, 6));
    CHECK_FALSE(isShort(300, 6));
    CHECK_FALSE(isShort(800, 6));
}

TEST_CASE("ShortPauseReserve.ReservesSameEndpointsAfterRestart")
{
    // All hosts restart without state. Prompt parts are cached where the previous coordinator
    // placed them, outside of the reserve. Without a reserve at first, the new coordinator would
    // look for some parts on an endpoint that never had them, and they would be prefilled again.
    const auto all = endpoints(9);
    ShortPauseReserve before;
    open(before, 20);
    const auto reserved = before.endpoints(Pool, all, Start, 1);
    ShortPauseReserve after;
    CHECK(after.endpoints(Pool, all, Start, 1) == reserved);
}

TEST_CASE("ShortPauseReserve.SizeFollowsOpenStreams")
{
    ShortPauseReserve reserve;
    const auto all = endpoints(60);
    CHECK(reserve.endpoints(Pool, all, Start, 0).empty());
    open(reserve, 1);
    CHECK(reserve.endpoints(Pool, all, Start, 0).size() == 1);
    open(reserve, 200); // 201 streams, 38.4 on each endpoint
    CHECK(reserve.endpoints(Pool, all, Start, 0).size() == 6);
}

TEST_CASE("ShortPauseReserve.ShrinksOnlyAfterDelay")
{
    // If the reserve followed each fluctuation of the load, endpoints would join and leave it every
    // second, and the prompt parts cached on them would be prefilled again elsewhere.
    ShortPauseReserve reserve;
    const auto all = endpoints(60);
    open(reserve, 200);
    const auto before = reserve.endpoints(Pool, all, Start, 0);
    for (int i = 0; i < 199; ++i)
        reserve.onStreamEnded(Pool);
    CHECK(reserve.endpoints(Pool, all, Start + seconds(4), 0) == before);
    CHECK(reserve.endpoints(Pool, all, Start + seconds(6), 0).size() == 1);
}

TEST_CASE("ShortPauseReserve.GrowingKeepsReservedEndpoints")
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

TEST_CASE("ShortPauseReserve.ReservesAtMostHalfAndNoLeavingEndpoint")
{
    ShortPauseReserve reserve;
    const auto all = endpoints(9);
    open(reserve, 10000);
    CHECK(reserve.endpoints(Pool, all, Start, 0).size() == 4);
    const auto reserved = reserve.endpoints(Pool, all, Start, 0);
    for (const auto &endpoint : all)
        endpoint->leaving = reserved.count(endpoint.get()) != 0;
    const auto &after = reserve.endpoints(Pool, all, Start + seconds(1), 0);
    CHECK(after.size() == 2);
    for (const EndpointStatus *endpoint : after)
        CHECK_FALSE(endpoint->leaving);
}
