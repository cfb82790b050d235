#include "deskworld.h"

#include <doctest/doctest.h>

#include <map>
#include <set>

using namespace monsoongrade;
using namespace monsoongrade::routing;

namespace {

PlacementQuery plainQuery()
{
    PlacementQuery query;
    query.pool = DeskPool;
    query.requesterDomain = units::FailureDomain("odd");
    return query;
}

} // namespace

TEST_CASE("RequestPlacer.RequestsOfOneSubjectStayOnOneEndpoint")
{
    DeskWorld world(9);
    std::set<std::string> used;
    for (int i = 0; i < 10; ++i) {
        const PlacementChoice choice = world.place(modelQuery("subject", 13300, 3720));
        used.insert(choice.endpoint->registration.id.value());
        world.desk.onEvent(world.lastTicket(), PlacementEvent::FirstEvent, world.now);
        world.desk.onEvent(world.lastTicket(), PlacementEvent::Completed, world.now);
    }
    CHECK(used.size() == 1);
}

TEST_CASE("RequestPlacer.ColdReadsSpreadEvenly")
{
    DeskWorld world(9);
    std::map<std::string, int> reads;
    for (int i = 0; i < 90; ++i) {
        const auto choice = world.place(modelQuery("subject" + std::to_string(i), 13300, 3720));
        ++reads[choice.endpoint->registration.id.value()];
    }
    CHECK(reads.size() == 9);
    for (const auto &read : reads)
        CHECK_MESSAGE(std::abs(read.second - 10) <= 5, read.first, " got ", read.second,
                      " of 90 reads");
}

TEST_CASE("RequestPlacer.ShortRequestAvoidsEndpointsWithLongReads")
{
    DeskWorld world(3);
    const auto busy = world.place(modelQuery("long", 13300, 3720)).endpoint;
    for (int i = 0; i < 10; ++i) {
        const auto choice = world.place(modelQuery("clip" + std::to_string(i), 350, 1110));
        CHECK(choice.endpoint != busy);
    }
}

TEST_CASE("RequestPlacer.MuchUsedSubjectSpreadsUnderLoad")
{
    // One subject gets so many requests at once that its endpoint could not read them in time.
    DeskWorld world(9);
    std::set<std::string> used;
    for (int i = 0; i < 60; ++i)
        used.insert(world.place(modelQuery("hot", 13300, 3720)).endpoint->registration.id.value());
    CHECK(used.size() >= 2);
    CHECK(used.size() <= 4);
}

TEST_CASE("RequestPlacer.StreamsWithShortPausesAndLongReadsUseDifferentEndpoints")
{
    // A burst of long prompts beside summaries whose events may be 200 ms apart. On a shared
    // endpoint a summary's first event is in time, then the endpoint reads one prompt after
    // another between its events, and the stream is late.
    DeskWorld world(9);
    PlacementQuery summary = modelQuery("s", 350, 1110);
    summary.needsShortPauses = true;
    std::set<std::string> ofSummaries;
    std::set<std::string> ofLongReads;
    for (int i = 0; i < 60; ++i) {
        ofSummaries.insert(world.place(summary).endpoint->registration.id.value());
        world.desk.onEvent(world.lastTicket(), PlacementEvent::FirstEvent, world.now);
        const PlacementQuery read = modelQuery("long" + std::to_string(i), 13300, 3720);
        ofLongReads.insert(world.place(read).endpoint->registration.id.value());
    }
    CHECK(ofSummaries.size() == 1);
    CHECK(ofLongReads.size() == 8);
    for (const std::string &endpoint : ofSummaries)
        CHECK_MESSAGE(ofLongReads.count(endpoint) == 0, endpoint, " got both");
}

TEST_CASE("RequestPlacer.StreamsWithShortPausesOverflowWhenTheirEndpointsAreFull")
{
    DeskWorld world(2, 10);
    PlacementQuery summary = modelQuery("s", 350, 1110);
    summary.needsShortPauses = true;
    std::set<std::string> used;
    for (int i = 0; i < 15; ++i)
        used.insert(world.place(summary).endpoint->registration.id.value());
    CHECK(used.size() == 2);
}

TEST_CASE("RequestPlacer.SummariesThatReturnAllAtOnceSpread")
{
    // After an outage all clients return in half a second. Sixty short prompts on the one kept
    // endpoint take 0.5 s to read, twice the target of a summary; the other endpoints are idle.
    DeskWorld world(9);
    PlacementQuery summary = modelQuery("s", 350, 1110);
    summary.needsShortPauses = true;
    std::map<std::string, std::int64_t> tokens;
    for (int i = 0; i < 60; ++i) {
        summary.sharedPart = "s" + std::to_string(i);
        const PlacementChoice choice = world.place(summary);
        tokens[choice.endpoint->registration.id.value()] += choice.tokensToRead;
    }
    for (const auto &each : tokens)
        CHECK_MESSAGE(each.second <= 15000, each.first, " has ", each.second,
                      " tokens to read, expected less than 100 ms");
}

TEST_CASE("RequestPlacer.LongReadsWaitByTierAndDueTimeWhileEndpointsAreBusy")
{
    // In a burst of cold prompts the endpoints' own queues would grow and be worked off in order
    // of arrival. Here the long reads wait instead, and the higher tier goes first.
    DeskWorld world(1);
    PlacementQuery low = modelQuery("a", 13300, 3720);
    low.mayWait = true;
    low.tier = units::Tier(2);
    CHECK_FALSE(world.place(low).isWaiting);
    const PlacementTicket running = world.lastTicket();
    low.sharedPart = "b";
    CHECK(world.place(low).isWaiting);
    PlacementQuery high = modelQuery("c", 6300, 2890);
    high.mayWait = true;
    high.tier = units::Tier(1);
    CHECK(world.place(high).isWaiting);
    const PlacementTicket first = world.lastTicket();

    CHECK(world.desk.placeWaiting(world.registry, world.now).empty());
    world.desk.onEvent(running, PlacementEvent::FirstEvent, world.now);
    const auto placed = world.desk.placeWaiting(world.registry, world.now);
    REQUIRE_FALSE(placed.empty());
    CHECK(placed[0].first.number == first.number);
    CHECK(placed[0].second.endpoint != nullptr);
}

TEST_CASE("RequestPlacer.OverloadIsRefusedAtOnceWithATimeAndHigherTiersStillWait")
{
    // All prompts are cold and arrive at many times the rate at which nine endpoints can read them.
    // Requests that waited until their clients left would have been told nothing for 6 s.
    DeskWorld world(9);
    int waiting = 0;
    int refused = 0;
    for (int i = 0; i < 600; ++i) {
        PlacementQuery query = modelQuery("cold" + std::to_string(i), 13300, 3720);
        query.mayWait = true;
        query.tier = units::Tier(4);
        const PlacementChoice choice = world.place(query);
        waiting += choice.isWaiting ? 1 : 0;
        if (choice.retryDelay) {
            ++refused;
            CHECK(choice.endpoint == nullptr);
            CHECK(*choice.retryDelay > std::chrono::milliseconds(500));
        }
    }
    CHECK(waiting > 20);
    CHECK_MESSAGE(refused > 400, "expected most of 600 to be refused, got ", refused);
    PlacementQuery higher = modelQuery("other", 6300, 2890);
    higher.mayWait = true;
    higher.tier = units::Tier(2);
    const PlacementChoice choice = world.place(higher);
    CHECK(choice.isWaiting);
    CHECK_FALSE(choice.retryDelay);
}

TEST_CASE("RequestPlacer.RepeatedAskGetsTheSameAnswer")
{
    // An answer is lost and the ask is repeated. The request must not be placed twice, nor be
    // refused because it is itself in the queue: the queue would place it later all the same, and
    // an endpoint would count a request that nobody sends.
    DeskWorld world(1);
    PlacementQuery query = modelQuery("a", 13300, 3720);
    query.mayWait = true;
    const auto first = world.place(query).endpoint;
    const PlacementTicket placed = world.lastTicket();
    const auto again
        = world.desk.place(placed, query, world.registry.available(DeskPool), world.now);
    CHECK(again.endpoint == first);
    CHECK(world.desk.openRequests(*first) == 1);
    CHECK(world.desk.tokensToRead(*first) == 17020);

    PlacementTicket lastWaiting;
    for (int i = 0; i < 40; ++i) {
        query.sharedPart = "b" + std::to_string(i);
        if (world.place(query).isWaiting)
            lastWaiting = world.lastTicket();
    }
    REQUIRE(world.desk.isWaiting(lastWaiting));
    CHECK(world.desk.place(lastWaiting, query, world.registry.available(DeskPool), world.now)
              .isWaiting);
    CHECK(world.desk.isWaiting(lastWaiting));
}

TEST_CASE("RequestPlacer.ReadingAPartAgainIsTheLastResort")
{
    // The endpoint that has a subject's part is as busy as another is idle. Reading the part again
    // there would help this request and delay all others in a burst; it stays.
    DeskWorld world(2);
    const auto holder = world.place(modelQuery("subject", 13300, 3720)).endpoint;
    for (int i = 0; i < 3; ++i)
        CHECK(world.place(modelQuery("subject", 13300, 3720)).endpoint == holder);
}

TEST_CASE("RequestPlacer.SuccessorKnowsWhatItWasTold")
{
    // The placing host is lost. The next one was told what is cached where, so a subject's next
    // request does not read its part again elsewhere.
    DeskWorld world(9);
    std::map<std::string, EndpointRegistry::Status> holders;
    for (int i = 0; i < 60; ++i) {
        const std::string part = "subject" + std::to_string(i);
        holders[part] = world.place(modelQuery(part, 13300, 3720)).endpoint;
    }
    RequestPlacer successor;
    for (const CachedPart &part : world.desk.takeNewCachedParts())
        successor.addCachedPart(part, world.now);
    for (const auto &[part, holder] : holders) {
        const auto choice = successor.place({"host", 1}, modelQuery(part, 13300, 3720),
                                            world.registry.available(DeskPool), world.now);
        CHECK(choice.endpoint == holder);
        successor.onEvent({"host", 1}, PlacementEvent::Withdrawn, world.now);
    }
}

TEST_CASE("RequestPlacer.HostsThatDecideAloneAgreeOnFirstReads")
{
    DeskWorld world(9);
    for (int i = 0; i < 20; ++i) {
        PlacementQuery query = modelQuery("subject" + std::to_string(i), 13300, 3720);
        query.isLocalFallback = true;
        RequestPlacer one;
        RequestPlacer other;
        const auto available = world.registry.available(DeskPool);
        CHECK(one.place({"a", 1}, query, available, world.now).endpoint
              == other.place({"b", 1}, query, available, world.now).endpoint);
    }
}

TEST_CASE("RequestPlacer.WaitingRequestThatIsGivenUpIsForgotten")
{
    DeskWorld world(1);
    PlacementQuery query = modelQuery("a", 13300, 3720);
    query.mayWait = true;
    world.place(query);
    query.sharedPart = "b";
    REQUIRE(world.place(query).isWaiting);
    world.desk.onEvent(world.lastTicket(), PlacementEvent::Withdrawn, world.now);
    CHECK_FALSE(world.desk.hasWaiting());
    REQUIRE(world.place(query).isWaiting);
    world.now += std::chrono::seconds(9);
    world.desk.placeWaiting(world.registry, world.now);
    CHECK_FALSE(world.desk.hasWaiting());
}

TEST_CASE("RequestPlacer.LostNewsDoesNotKeepAnEndpointLoadedForEver")
{
    // The host that asked dies; its news of the first event and of the end never come.
    DeskWorld world(1);
    const auto endpoint = world.place(modelQuery("a", 13300, 3720)).endpoint;
    CHECK(world.desk.openRequests(*endpoint) == 1);
    world.now += std::chrono::seconds(13);
    world.place(modelQuery("b", 350, 1110));
    CHECK(world.desk.openRequests(*endpoint) == 1);
    CHECK(world.desk.tokensToRead(*endpoint) < 2000);
}

TEST_CASE("RequestPlacer.SilenceTowardsOneHostDoesNotSuspendABusyEndpoint")
{
    // In an overload a first event takes longer than the silence that means a lost endpoint. As
    // long as other requests get results from it, it lives.
    DeskWorld world(1);
    const auto endpoint = world.place(modelQuery("a", 350, 1110)).endpoint;
    const PlacementTicket silent = world.lastTicket();
    world.now += std::chrono::milliseconds(300);
    world.place(modelQuery("b", 350, 1110));
    world.desk.onEvent(world.lastTicket(), PlacementEvent::FirstEvent, world.now);
    world.desk.onEvent(silent, PlacementEvent::EndpointSilent, world.now);
    CHECK(endpoint->health.accepts(world.now));

    world.now += std::chrono::milliseconds(10);
    world.place(modelQuery("c", 350, 1110));
    world.desk.onEvent(world.lastTicket(), PlacementEvent::EndpointSilent,
                       world.now + std::chrono::milliseconds(600));
    CHECK_FALSE(endpoint->health.accepts(world.now + std::chrono::milliseconds(600)));
}

TEST_CASE("RequestPlacer.PlainRequestsGoNearAndThenToTheLeastLoaded")
{
    DeskWorld world(2, 6);
    CHECK(world.place(plainQuery()).endpoint->registration.failureDomain.value() == "odd");
    CHECK(world.place(plainQuery()).endpoint->registration.failureDomain.value() == "even");
}

TEST_CASE("RequestPlacer.FullPlainEndpointsTakeNoMore")
{
    DeskWorld world(2, 2);
    for (int i = 0; i < 4; ++i)
        CHECK(world.place(plainQuery()).endpoint != nullptr);
    CHECK(world.place(plainQuery()).endpoint == nullptr);
}

TEST_CASE("RequestPlacer.TriedAndSuspendedEndpointsAreLeftOut")
{
    DeskWorld world(3);
    PlacementQuery query = plainQuery();
    query.tried = {units::EndpointId("e0")};
    const auto suspended = world.registry.available(DeskPool)[1];
    suspended->health.onFailure(world.now);
    suspended->health.onFailure(world.now);
    for (int i = 0; i < 4; ++i)
        CHECK(world.place(query).endpoint->registration.id.value() == "e2");
}

// Guards against overloading an endpoint that has named a limit, and against idling the others.
TEST_CASE("RequestPlacer.LimitedEndpointLeavesTheRestToOthers")
{
    for (const bool runsModel : {true, false}) {
        DeskWorld world(2);
        const EndpointRegistry::Status limited = world.registry.available(DeskPool)[0];
        limited->rateLimiter.setLimit(1.0, 0.5, world.now);
        int onLimited = 0;
        for (int i = 0; i < 400; ++i) {
            world.now += std::chrono::milliseconds(10);
            PlacementQuery query = modelQuery("s" + std::to_string(i), 100, 100);
            query.runsModel = runsModel;
            const PlacementChoice choice = world.place(query);
            REQUIRE(choice.endpoint != nullptr);
            onLimited += choice.endpoint == limited ? 1 : 0;
            world.desk.onEvent(world.lastTicket(), PlacementEvent::Completed, world.now);
        }
        CHECK(onLimited >= 2);
        CHECK(onLimited <= 5);
    }
}
