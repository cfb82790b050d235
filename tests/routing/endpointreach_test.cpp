#include <monsoongrade/routing/endpointreach.h>

#include <doctest/doctest.h>

using namespace monsoongrade;
using namespace monsoongrade::routing;
using std::chrono::milliseconds;
using std::chrono::seconds;
using Change = EndpointReach::Change;

namespace {

const units::PoolName Pool("pool");
const units::PoolName OtherPool("other");
constexpr std::size_t PoolSize = 12;

struct ReachFixture
{
    Change fail(const std::string &endpoint, std::size_t poolSize = PoolSize)
    {
        return reach.onConnectFailed(Pool, units::EndpointId(endpoint), now, poolSize, now);
    }
    Change connect() { return reach.onConnected(Pool, now); }

    EndpointReach reach;
    units::TimePoint now = units::TimePoint{} + seconds(100);
};

} // namespace

TEST_CASE("EndpointReach.PoolIsLostWhenThreeEndpointsFailAndNoneConnects")
{
    ReachFixture fixture;
    CHECK(fixture.fail("a") == Change::None);
    CHECK(fixture.fail("a") == Change::None);
    CHECK(fixture.fail("b") == Change::None);
    CHECK_FALSE(fixture.reach.isLost(Pool));
    CHECK(fixture.fail("c") == Change::Lost);
    CHECK(fixture.fail("d") == Change::None);
    CHECK(fixture.reach.isLost(Pool));
    CHECK_FALSE(fixture.reach.isLost(OtherPool));
    CHECK(fixture.reach.lostPools() == std::vector<units::PoolName>{Pool});
}

TEST_CASE("EndpointReach.OneConnectionRegainsThePool")
{
    ReachFixture fixture;
    CHECK(fixture.connect() == Change::None);
    for (const char *endpoint : {"a", "b", "c"})
        fixture.fail(endpoint);
    fixture.now += seconds(1);
    CHECK(fixture.connect() == Change::Regained);
    CHECK(fixture.connect() == Change::None);
    CHECK(fixture.reach.lostPools().empty());
    CHECK(fixture.fail("a") == Change::None);
    CHECK(fixture.reach.failuresUntilLost(Pool, PoolSize, fixture.now) == 2);
}

TEST_CASE("EndpointReach.SmallPoolIsLostWithItsLastEndpoint")
{
    ReachFixture fixture;
    CHECK(fixture.fail("a", 2) == Change::None);
    CHECK(fixture.fail("b", 2) == Change::Lost);
    fixture.connect();
    CHECK(fixture.fail("a", 1) == Change::Lost);
}

// Guards against crashes of single endpoints, seconds apart, that look like a lost path.
TEST_CASE("EndpointReach.OldFailuresDoNotCount")
{
    ReachFixture fixture;
    for (const char *endpoint : {"a", "b", "c", "d", "e"}) {
        CHECK(fixture.fail(endpoint) == Change::None);
        fixture.now += seconds(3);
    }
}

// Guards against connections that time out after the path has come back.
TEST_CASE("EndpointReach.ConnectionsBegunBeforeTheLastSuccessDoNotCount")
{
    ReachFixture fixture;
    for (const char *endpoint : {"a", "b", "c"})
        fixture.fail(endpoint);
    const units::TimePoint begunAt = fixture.now;
    fixture.now += milliseconds(100);
    CHECK(fixture.connect() == Change::Regained);
    fixture.now += milliseconds(300);
    for (const char *endpoint : {"a", "b", "c"}) {
        CHECK(fixture.reach.onConnectFailed(Pool, units::EndpointId(endpoint), begunAt, PoolSize,
                                            fixture.now)
              == Change::None);
    }
    CHECK_FALSE(fixture.reach.isLost(Pool));
}
