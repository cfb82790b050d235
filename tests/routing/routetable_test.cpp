#include <monsoongrade/routing/admission.h>
#include <monsoongrade/routing/routetable.h>

#include <doctest/doctest.h>

using namespace monsoongrade;
using namespace monsoongrade::routing;

namespace {

Route routeFor(const std::string &name, const std::string &prefix)
{
    Route route;
    route.name = RouteName(name);
    route.host = "h";
    route.pathPrefix = prefix;
    route.tier = units::Tier(2);
    route.pools = {{units::PoolName("a"), 90}, {units::PoolName("b"), 10}};
    return route;
}

TrafficConfiguration twoRoutes()
{
    TrafficConfiguration configuration;
    configuration.routes = {routeFor("short", "/a/"), routeFor("long", "/a/b/")};
    configuration.workspaces = {{units::WorkspaceName("w1"), {"k1"}, units::Tier(0)},
                                {units::WorkspaceName("w2"), {"k2"}, std::nullopt}};
    return configuration;
}

std::string nameFound(const RouteTable &table, const std::string &target)
{
    const Route *route = table.find("h", target);
    return route == nullptr ? "none" : route->name.value();
}

RequestMetadata metadata(const std::string &key)
{
    RequestMetadata result;
    result.host = "h";
    result.key = key;
    return result;
}

} // namespace

TEST_CASE("RouteTable.LongestPrefixWins")
{
    const RouteTable table(twoRoutes());
    CHECK(nameFound(table, "/a/b/c") == "long");
    CHECK(nameFound(table, "/a/b/") == "long");
    CHECK(nameFound(table, "/a/b") == "short");
    CHECK(nameFound(table, "/a/x/b/y?z=/a/b/") == "short");
    CHECK(nameFound(table, "/b/a/") == "none");
    CHECK(nameFound(table, "") == "none");
    CHECK(table.find("other", "/a/b/c") == nullptr);
}

TEST_CASE("RouteTable.PoolsAreChosenByWeight")
{
    const Route route = routeFor("r", "/a/");
    CHECK(choosePool(route, 0.0).value() == "a");
    CHECK(choosePool(route, 0.89).value() == "a");
    CHECK(choosePool(route, 0.91).value() == "b");
    CHECK(choosePool(route, 0.999).value() == "b");
}

TEST_CASE("Admission.KeyDeterminesWorkspace")
{
    const RouteTable table(twoRoutes());
    const Admission own = admit(&table, true, metadata("k1"), "/a/x");
    CHECK(own.code == units::ResultCode::Ok);
    CHECK(own.workspace.value() == "w1");
}

TEST_CASE("Admission.RouteTierPrecedesWorkspaceTier")
{
    // If a workspace's tier replaced the route's, engines could not distinguish a summary from a
    // breakdown of the same workspace: in a burst of breakdowns they preempted summaries and let
    // breakdowns run on.
    TrafficConfiguration configuration = twoRoutes();
    configuration.routes[0].tier = units::Tier(0);
    configuration.routes[1].tier = units::Tier(2);
    configuration.workspaces[1].tier = units::Tier(1);
    const RouteTable table(configuration);
    const auto tier = [&](const char *key, const char *path) {
        return admit(&table, true, metadata(key), path).tier;
    };
    CHECK(tier("k1", "/a/x") < tier("k2", "/a/x"));
    CHECK(tier("k2", "/a/x") < tier("k1", "/a/b/x"));
    CHECK(tier("k1", "/a/b/x") < tier("k2", "/a/b/x"));
}

TEST_CASE("Admission.RouteTierPrecedesWorkspaceTierBeyondTenTiers")
{
    TrafficConfiguration configuration = twoRoutes();
    configuration.routes[0].tier = units::Tier(3);
    configuration.routes[1].tier = units::Tier(4);
    configuration.workspaces[1].tier = units::Tier(7);
    const RouteTable table(configuration);
    CHECK(admit(&table, true, metadata("k2"), "/a/x").tier
          < admit(&table, true, metadata("k1"), "/a/b/x").tier);
    CHECK(admit(&table, true, metadata("k2"), "/a/b/x").tier <= units::Tier(9));
}

TEST_CASE("Admission.UsesRouteTierWithoutWorkspaceTiers")
{
    TrafficConfiguration configuration = twoRoutes();
    configuration.workspaces[0].tier = std::nullopt;
    const RouteTable table(configuration);
    CHECK(admit(&table, true, metadata("k1"), "/a/x").tier == units::Tier(2));
    CHECK(admit(&table, true, metadata("k2"), "/a/x").tier == units::Tier(2));
}

TEST_CASE("Admission.UnknownIsReportedOnlyWithFreshConfiguration")
{
    // A host with outdated configuration can't know whether a route or key has been added; a caller
    // would not retry after a 404 or 401.
    const RouteTable table(twoRoutes());
    CHECK(admit(&table, true, metadata("k9"), "/a/x").code == units::ResultCode::UnknownKey);
    CHECK(admit(&table, true, metadata("k1"), "/z/x").code == units::ResultCode::NoRouteForRequest);
    for (const char *target : {"/a/x", "/z/x"})
        CHECK(admit(&table, false, metadata("k9"), target).code
              == units::ResultCode::ConfigurationTooOld);
    CHECK(admit(nullptr, true, metadata("k1"), "/a/x").code == units::ResultCode::NoConfiguration);
}

TEST_CASE("RouteTable.MarksPoolsWithShortGapStreams")
{
    TrafficConfiguration configuration = twoRoutes();
    configuration.routes[1].kind = RouteKind::Stream;
    configuration.routes[1].maxEventGap = std::chrono::milliseconds(200);
    configuration.routes[1].pools = {{units::PoolName("b"), 1}};
    configuration.pools
        = {{units::PoolName("a"), 64, true, 6}, {units::PoolName("b"), 64, true, 6}};
    const RouteTable table(configuration);
    CHECK_FALSE(table.pool(units::PoolName("a"))->servesShortPauses);
    CHECK(table.pool(units::PoolName("b"))->servesShortPauses);
}
