#include "../fixedspeeds.h"
#include "../placerfixture.h"

#include <monsoongrade/routing/performance/prefillpacing.h>

#include <doctest/doctest.h>

using namespace monsoongrade;
using namespace monsoongrade::routing;
using namespace monsoongrade::routing::performance;
using std::chrono::milliseconds;

namespace {

constexpr double TokensPerMs = 61.2;
constexpr int TokensPerEvent = 6;

// A pool whose engines prefill 61 tokens/ms. Each endpoint runs a stream with a gap of 400 ms.
struct PacedFixture : PlacerFixture
{
    explicit PacedFixture(int endpoints)
        : PlacerFixture(endpoints)
    {
        learnRate();
        setPool();
        for (int i = 0; i < endpoints; ++i)
            openStream("e" + std::to_string(i), endpoints);
    }
    void setPool()
    {
        TrafficPool pool;
        pool.name = TestPool;
        pool.tokensPerEvent = TokensPerEvent;
        placer.setPools({pool});
    }
    void learnRate()
    {
        for (int i = 0; i < 20; ++i) {
            const std::int64_t tokens = 2000 + i % 5 * 3000;
            place(modelQuery("", 0, tokens));
            now += milliseconds(std::int64_t(double(tokens) / TokensPerMs));
            end(lastTicket());
        }
    }
    void openStream(const std::string &endpoint, int endpoints)
    {
        PlacementQuery query = modelQuery("", 0, 100);
        query.maxEventGap = milliseconds(400);
        for (int i = 0; i < endpoints; ++i) {
            if (const std::string other = "e" + std::to_string(i); other != endpoint)
                query.tried.emplace_back(other);
        }
        place(query);
        placer.onEvent(lastTicket(), PlacementEvent::FirstEvent, now);
    }
    void end(const PlacementTicket &ticket)
    {
        placer.onEvent(ticket, PlacementEvent::FirstEvent, now);
        placer.onEvent(ticket, PlacementEvent::Completed, now);
    }
    PlacementQuery longQuery(std::int64_t tokens, std::uint32_t tier = 2)
    {
        PlacementQuery query = modelQuery("", 0, tokens);
        query.tier = units::Tier(tier);
        query.mayWait = true;
        return query;
    }
};

} // namespace

// Guards against pacing of engines that serve the gaps without it, and against batches that are
// longer than the gaps allow.
TEST_CASE("PrefillPacing.BatchFitsIntoSmallestGap")
{
    const PrefillPacing paced(TokensPerMs, 6, milliseconds(400));
    CHECK(paced.isPacingNeeded());
    CHECK(paced.maxBatch() == milliseconds(358));
    CHECK(PrefillPacing(37.9, 4, milliseconds(300)).maxBatch() == milliseconds(272));
    CHECK_FALSE(PrefillPacing(TokensPerMs, 6, milliseconds(600)).isPacingNeeded());
    CHECK_FALSE(PrefillPacing(157, 5, milliseconds(205)).isPacingNeeded());
    CHECK_FALSE(PrefillPacing(TokensPerMs, 6, units::Duration::zero()).isPacingNeeded());
}

// Guards against a batch that never ends because short prompts keep arriving.
TEST_CASE("PrefillPacing.LongBatchEndsWhenOnlyShortPrefillsRemain")
{
    const PrefillPacing pacing(TokensPerMs, 6, milliseconds(400));
    EndpointLoad load;
    load.busySince = TestStart;
    load.batchTokens = 21000;
    load.tokensToRead = 4000;
    CHECK_FALSE(pacing.mayPlace(load, 4000, TestStart + milliseconds(300)));
    CHECK(pacing.mayPlace(load, 4000, TestStart + milliseconds(500)));
    load.tokensToRead = 8000;
    CHECK_FALSE(pacing.mayPlace(load, 4000, TestStart + milliseconds(500)));
}

// Guards against prefills without interruption where streams run, and against a request that stays
// queued after the batch has ended.
TEST_CASE("PrefillPacing.NextBatchWaitsForFirstEventsOfPrevious")
{
    PacedFixture fixture(1);
    CHECK_FALSE(fixture.place(fixture.longQuery(10000)).isWaiting);
    const PlacementTicket first = fixture.lastTicket();
    CHECK_FALSE(fixture.place(fixture.longQuery(9000)).isWaiting); // more than the backlog limit
    const PlacementTicket second = fixture.lastTicket();
    CHECK(fixture.place(fixture.longQuery(9000)).isWaiting);
    CHECK(fixture.placer.prefillsPaced() == 1);
    fixture.now += milliseconds(200);
    fixture.end(first);
    CHECK(fixture.placer.placeWaiting(fixture.registry, fixture.now).empty());
    fixture.now += milliseconds(150);
    fixture.end(second);
    CHECK(fixture.placer.placeWaiting(fixture.registry, fixture.now).size() == 1);
}

// Guards against requests that are delayed for a lower tier, or where no pacing applies.
TEST_CASE("PrefillPacing.AppliesOnlyToQueueableRequestsOfSameOrLowerTier")
{
    PacedFixture fixture(1);
    PlacementQuery low = fixture.longQuery(9000);
    low.maxEventGap = milliseconds(300); // of a tier that the next request need not consider
    fixture.place(low);
    CHECK_FALSE(fixture.place(fixture.longQuery(12000, 1)).isWaiting);
    fixture.end(fixture.lastTicket());
    PlacementQuery unqueued = fixture.longQuery(20000);
    unqueued.mayWait = false;
    CHECK_FALSE(fixture.place(unqueued).isWaiting);
    fixture.end(fixture.lastTicket());
    fixture.placer.setPools({});
    CHECK_FALSE(fixture.place(fixture.longQuery(20000)).isWaiting);
    CHECK(fixture.placer.prefillsPaced() == 0);
}

// Guards against prompts that are never placed because of their size.
TEST_CASE("PrefillPacing.PrefillThatFitsInNoBatchIsPlacedWithoutPacing")
{
    PacedFixture fixture(1);
    CHECK_FALSE(fixture.place(fixture.longQuery(40000)).isWaiting);
    fixture.now += milliseconds(650);
    fixture.end(fixture.lastTicket());
    fixture.place(fixture.longQuery(8000));
    CHECK_FALSE(fixture.place(fixture.longQuery(40000)).isWaiting);
    CHECK(fixture.place(fixture.longQuery(40000)).isWaiting);
    CHECK(fixture.placer.prefillsPaced() == 0);
}

// Guards against a shared prompt part that is prefilled again because its holder is closed for a
// moment.
TEST_CASE("PrefillPacing.RequestWaitsForHolderOfItsPart")
{
    PacedFixture fixture(2);
    PlacementQuery query = modelQuery("part", 13300, 6000);
    query.tier = units::Tier(2);
    query.mayWait = true;
    const PlacementChoice first = fixture.place(query);
    REQUIRE_FALSE(first.isWaiting);
    CHECK(fixture.place(query).isWaiting);
    const std::string holder = first.endpoint->registration.id.value();
    fixture.now += milliseconds(400);
    fixture.placer.onEvent({"host", fixture.last - 1}, PlacementEvent::FirstEvent, fixture.now);
    const auto placed = fixture.placer.placeWaiting(fixture.registry, fixture.now);
    REQUIRE(placed.size() == 1);
    CHECK(placed.front().second.endpoint->registration.id.value() == holder);
    CHECK(placed.front().second.tokensToRead == 6000);
}

// Guards against endpoints of different speeds that get the same work.
TEST_CASE("RequestPlacer.FasterEndpointGetsMoreWork")
{
    PlacerFixture fixture(2);
    FixedSpeeds speeds;
    speeds.speeds = {{"e0", 0.7}, {"e1", 1.7}};
    fixture.placer.setSpeedModel(&speeds);
    std::map<std::string, int> placed;
    for (int i = 0; i < 24; ++i)
        ++placed[fixture.place(modelQuery("", 0, 1000)).endpoint->registration.id.value()];
    CHECK(placed["e1"] == 17);
    CHECK(placed["e0"] == 7);
}
