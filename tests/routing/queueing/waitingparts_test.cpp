#include "../placerfixture.h"

#include <doctest/doctest.h>

using namespace monsoongrade;
using namespace monsoongrade::routing;

namespace {

PlacementQuery waitingQuery(const std::string &part, std::int64_t shared, std::int64_t own)
{
    PlacementQuery query = modelQuery(part, shared, own);
    query.mayWait = true;
    query.workspace = units::WorkspaceName("w");
    return query;
}

} // namespace

TEST_CASE("WaitingParts.PopularPartDoesNotBlockOthers")
{
    // All requests for a part wait for the endpoint that has it. If each used an attempt, those
    // behind them would not be tried although another endpoint is free.
    PlacerFixture f(2);
    PlacementQuery popular = waitingQuery("popular", 60000, 20000);
    popular.targetIn = popular.expiresIn = std::chrono::minutes(1); // none is refused
    const auto holder = f.place(popular).endpoint;
    REQUIRE(holder != nullptr);
    const auto other = f.place(waitingQuery("", 0, 60000)).endpoint;
    REQUIRE(other != nullptr);
    REQUIRE(other != holder);
    const PlacementTicket onOther = f.lastTicket();
    for (int i = 0; i < 20; ++i)
        REQUIRE(f.place(popular).isWaiting);
    PlacementQuery rare = waitingQuery("rare", 0, 30000);
    rare.targetIn = rare.expiresIn = std::chrono::minutes(2);
    REQUIRE(f.place(rare).isWaiting);
    const PlacementTicket last = f.lastTicket();
    f.placer.onEvent(onOther, PlacementEvent::Completed, f.now);
    const auto placed = f.placer.placeWaiting(f.registry, f.now);
    REQUIRE(placed.size() == 1);
    CHECK(placed[0].first.number == last.number);
    CHECK(placed[0].second.endpoint == other);
}

TEST_CASE("WaitingParts.RefusalNamesTheWorkspace")
{
    // Without these fields, the coordinator's log does not tell whose requests it refuses.
    PlacerFixture f(1);
    PlacementChoice choice;
    for (int i = 0; i < 40 && !choice.retryDelay; ++i)
        choice = f.place(waitingQuery("part", 60000, 60000));
    REQUIRE(choice.refusal);
    CHECK(choice.refusal->pool == TestPool);
    CHECK(choice.refusal->workspace.value() == "w");
    CHECK(!choice.refusal->isOverShare);
}
