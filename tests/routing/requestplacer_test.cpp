#include "placerfixture.h"

#include <doctest/doctest.h>

#include <map>
#include <set>

using namespace monsoongrade;
using namespace monsoongrade::routing;

namespace {

PlacementQuery plainQuery()
{
    PlacementQuery query;
    query.pool = TestPool;
    query.requesterDomain = units::FailureDomain("odd");
    return query;
}

} // namespace

TEST_CASE("RequestPlacer.RequestsWithSameSharedPartUseOneEndpoint")
{
    PlacerFixture fixture(9);
    std::set<std::string> used;
    for (int i = 0; i < 10; ++i) {
        const PlacementChoice choice = fixture.place(modelQuery("subject", 13300, 3720));
        used.insert(choice.endpoint->registration.id.value());
        fixture.placer.onEvent(fixture.lastTicket(), PlacementEvent::FirstEvent, fixture.now);
        fixture.placer.onEvent(fixture.lastTicket(), PlacementEvent::Completed, fixture.now);
    }
    CHECK(used.size() == 1);
}

TEST_CASE("RequestPlacer.UncachedPromptsAreSpreadEvenly")
{
    PlacerFixture fixture(9);
    std::map<std::string, int> prefills;
    for (int i = 0; i < 90; ++i) {
        const auto choice = fixture.place(modelQuery("subject" + std::to_string(i), 13300, 3720));
        ++prefills[choice.endpoint->registration.id.value()];
    }
    CHECK(prefills.size() == 9);
    for (const auto &prefill : prefills)
        CHECK_MESSAGE(std::abs(prefill.second - 10) <= 5, prefill.first, " got ", prefill.second,
                      " of 90 reads");
}

TEST_CASE("RequestPlacer.ShortRequestAvoidsEndpointsWithLongPrefills")
{
    PlacerFixture fixture(3);
    const auto busy = fixture.place(modelQuery("long", 13300, 3720)).endpoint;
    for (int i = 0; i < 10; ++i) {
        const auto choice = fixture.place(modelQuery("clip" + std::to_string(i), 350, 1110));
        CHECK(choice.endpoint != busy);
    }
}

TEST_CASE("RequestPlacer.PopularSharedPartIsSpreadUnderLoad")
{
    // One subject gets more requests at once than its endpoint can prefill in time.
    PlacerFixture fixture(9);
    std::set<std::string> used;
    for (int i = 0; i < 60; ++i)
        used.insert(
            fixture.place(modelQuery("hot", 13300, 3720)).endpoint->registration.id.value());
    CHECK(used.size() >= 2);
    CHECK(used.size() <= 4);
}

TEST_CASE("RequestPlacer.ShortGapStreamsAndLongPrefillsUseDifferentEndpoints")
{
    // A burst of long prompts together with summaries whose event gaps may be at most 200 ms. On a
    // shared endpoint, prefills between the events of a summary would make the gaps too long.
    PlacerFixture fixture(9);
    PlacementQuery summary = modelQuery("s", 350, 1110);
    summary.needsShortPauses = true;
    std::set<std::string> ofSummaries;
    std::set<std::string> ofLongPrefills;
    for (int i = 0; i < 60; ++i) {
        ofSummaries.insert(fixture.place(summary).endpoint->registration.id.value());
        fixture.placer.onEvent(fixture.lastTicket(), PlacementEvent::FirstEvent, fixture.now);
        const PlacementQuery prefill = modelQuery("long" + std::to_string(i), 13300, 3720);
        ofLongPrefills.insert(fixture.place(prefill).endpoint->registration.id.value());
    }
    CHECK(ofSummaries.size() == 1);
    CHECK(ofLongPrefills.size() == 8);
    for (const std::string &endpoint : ofSummaries)
        CHECK_MESSAGE(ofLongPrefills.count(endpoint) == 0, endpoint, " got both");
}

TEST_CASE("RequestPlacer.ShortGapStreamsOverflowWhenReservedEndpointsAreFull")
{
    PlacerFixture fixture(2, 10);
    PlacementQuery summary = modelQuery("s", 350, 1110);
    summary.needsShortPauses = true;
    std::set<std::string> used;
    for (int i = 0; i < 15; ++i)
        used.insert(fixture.place(summary).endpoint->registration.id.value());
    CHECK(used.size() == 2);
}

TEST_CASE("RequestPlacer.ShortGapStreamsAreSpreadAfterOutage")
{
    // After an outage all clients return within half a second. Prefilling 60 short prompts on the
    // one reserved endpoint takes 0.5 s, twice the target of a summary, while others are idle.
    PlacerFixture fixture(9);
    PlacementQuery summary = modelQuery("s", 350, 1110);
    summary.needsShortPauses = true;
    std::map<std::string, std::int64_t> tokens;
    for (int i = 0; i < 60; ++i) {
        summary.sharedPart = "s" + std::to_string(i);
        const PlacementChoice choice = fixture.place(summary);
        tokens[choice.endpoint->registration.id.value()] += choice.tokensToRead;
    }
    for (const auto &each : tokens)
        CHECK_MESSAGE(each.second <= 15000, each.first, " has ", each.second,
                      " tokens to read, expected less than 100 ms");
}

TEST_CASE("RequestPlacer.LongPrefillsAreQueuedByTierAndDueTime")
{
    // In a burst of uncached prompts the endpoints' own queues would grow and be served in order
    // of arrival. Long prefills are queued by the placer instead, and the higher tier goes first.
    PlacerFixture fixture(1);
    PlacementQuery low = modelQuery("a", 13300, 3720);
    low.mayWait = true;
    low.tier = units::Tier(2);
    CHECK_FALSE(fixture.place(low).isWaiting);
    const PlacementTicket running = fixture.lastTicket();
    low.sharedPart = "b";
    CHECK(fixture.place(low).isWaiting);
    PlacementQuery high = modelQuery("c", 6300, 2890);
    high.mayWait = true;
    high.tier = units::Tier(1);
    CHECK(fixture.place(high).isWaiting);
    const PlacementTicket first = fixture.lastTicket();

    CHECK(fixture.placer.placeWaiting(fixture.registry, fixture.now).empty());
    fixture.placer.onEvent(running, PlacementEvent::FirstEvent, fixture.now);
    const auto placed = fixture.placer.placeWaiting(fixture.registry, fixture.now);
    REQUIRE_FALSE(placed.empty());
    CHECK(placed[0].first.number == first.number);
    CHECK(placed[0].second.endpoint != nullptr);
}

TEST_CASE("RequestPlacer.OverloadIsRefusedWithRetryDelayAndHigherTiersAreQueued")
{
    // Uncached prompts arrive at many times the prefill rate of nine endpoints. Without a refusal,
    // clients would wait 6 s for nothing.
    PlacerFixture fixture(9);
    int waiting = 0;
    int refused = 0;
    for (int i = 0; i < 600; ++i) {
        PlacementQuery query = modelQuery("cold" + std::to_string(i), 13300, 3720);
        query.mayWait = true;
        query.tier = units::Tier(4);
        const PlacementChoice choice = fixture.place(query);
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
    const PlacementChoice choice = fixture.place(higher);
    CHECK(choice.isWaiting);
    CHECK_FALSE(choice.retryDelay);
}

TEST_CASE("RequestPlacer.RepeatedQueryGetsSameResult")
{
    // A result is lost and the query is repeated. The request must not be placed twice, nor be
    // refused because of its own queue entry: the queue would still place it later, and an endpoint
    // would be charged for a request that is never sent.
    PlacerFixture fixture(1);
    PlacementQuery query = modelQuery("a", 13300, 3720);
    query.mayWait = true;
    const auto first = fixture.place(query).endpoint;
    const PlacementTicket placed = fixture.lastTicket();
    const auto again
        = fixture.placer.place(placed, query, fixture.registry.available(TestPool), fixture.now);
    CHECK(again.endpoint == first);
    CHECK(fixture.placer.openRequests(*first) == 1);
    CHECK(fixture.placer.tokensToRead(*first) == 17020);

    PlacementTicket lastWaiting;
    for (int i = 0; i < 40; ++i) {
        query.sharedPart = "b" + std::to_string(i);
        if (fixture.place(query).isWaiting)
            lastWaiting = fixture.lastTicket();
    }
    REQUIRE(fixture.placer.isWaiting(lastWaiting));
    CHECK(
        fixture.placer.place(lastWaiting, query, fixture.registry.available(TestPool), fixture.now)
            .isWaiting);
    CHECK(fixture.placer.isWaiting(lastWaiting));
}

TEST_CASE("RequestPlacer.CachedPartIsPreferredOverIdleEndpoint")
{
    // The endpoint that has the shared part cached is busy and another one is idle. Prefilling the
    // part again there would help this request, but delay all others in a burst.
    PlacerFixture fixture(2);
    const auto holder = fixture.place(modelQuery("subject", 13300, 3720)).endpoint;
    for (int i = 0; i < 3; ++i)
        CHECK(fixture.place(modelQuery("subject", 13300, 3720)).endpoint == holder);
}

TEST_CASE("RequestPlacer.SuccessorUsesAnnouncedCachedParts")
{
    // The coordinator is lost. Its successor was told which endpoint has which part cached, so the
    // next request of a subject does not prefill its part again elsewhere.
    PlacerFixture fixture(9);
    std::map<std::string, EndpointRegistry::Status> holders;
    for (int i = 0; i < 60; ++i) {
        const std::string part = "subject" + std::to_string(i);
        holders[part] = fixture.place(modelQuery(part, 13300, 3720)).endpoint;
    }
    RequestPlacer successor;
    for (const CachedPart &part : fixture.placer.takeNewCachedParts())
        successor.addCachedPart(part, fixture.now);
    for (const auto &[part, holder] : holders) {
        const auto choice = successor.place({"host", 1}, modelQuery(part, 13300, 3720),
                                            fixture.registry.available(TestPool), fixture.now);
        CHECK(choice.endpoint == holder);
        successor.onEvent({"host", 1}, PlacementEvent::Withdrawn, fixture.now);
    }
}

TEST_CASE("RequestPlacer.LocalPlacementsOfUncachedPartsAgreeBetweenHosts")
{
    PlacerFixture fixture(9);
    for (int i = 0; i < 20; ++i) {
        const PlacementQuery query = modelQuery("subject" + std::to_string(i), 13300, 3720);
        RequestPlacer one;
        RequestPlacer other;
        const auto available = fixture.registry.available(TestPool);
        CHECK(one.place({"a", 1}, query, available, fixture.now).endpoint
              == other.place({"b", 1}, query, available, fixture.now).endpoint);
    }
}

TEST_CASE("RequestPlacer.WithdrawnAndExpiredRequestsLeaveTheQueue")
{
    PlacerFixture fixture(1);
    PlacementQuery query = modelQuery("a", 13300, 3720);
    query.mayWait = true;
    fixture.place(query);
    query.sharedPart = "b";
    REQUIRE(fixture.place(query).isWaiting);
    fixture.placer.onEvent(fixture.lastTicket(), PlacementEvent::Withdrawn, fixture.now);
    CHECK_FALSE(fixture.placer.hasWaiting());
    REQUIRE(fixture.place(query).isWaiting);
    fixture.now += std::chrono::seconds(9);
    fixture.placer.placeWaiting(fixture.registry, fixture.now);
    CHECK_FALSE(fixture.placer.hasWaiting());
}

TEST_CASE("RequestPlacer.LoadExpiresWhenEventsAreLost")
{
    // The requesting host crashes, so the events of the first event and of the end never arrive.
    PlacerFixture fixture(1);
    const auto endpoint = fixture.place(modelQuery("a", 13300, 3720)).endpoint;
    CHECK(fixture.placer.openRequests(*endpoint) == 1);
    fixture.now += std::chrono::seconds(13);
    fixture.place(modelQuery("b", 350, 1110));
    CHECK(fixture.placer.openRequests(*endpoint) == 1);
    CHECK(fixture.placer.tokensToRead(*endpoint) < 2000);
}

TEST_CASE("RequestPlacer.SilenceToOneHostDoesNotSuspendBusyEndpoint")
{
    // In an overload a first event takes longer than the silence timeout. As long as other requests
    // get results from the endpoint, it is alive.
    PlacerFixture fixture(1);
    const auto endpoint = fixture.place(modelQuery("a", 350, 1110)).endpoint;
    const PlacementTicket silent = fixture.lastTicket();
    fixture.now += std::chrono::milliseconds(300);
    fixture.place(modelQuery("b", 350, 1110));
    fixture.placer.onEvent(fixture.lastTicket(), PlacementEvent::FirstEvent, fixture.now);
    fixture.placer.onEvent(silent, PlacementEvent::EndpointSilent, fixture.now);
    CHECK(endpoint->health.accepts(fixture.now));

    fixture.now += std::chrono::milliseconds(10);
    fixture.place(modelQuery("c", 350, 1110));
    fixture.placer.onEvent(fixture.lastTicket(), PlacementEvent::EndpointSilent,
                           fixture.now + std::chrono::milliseconds(600));
    CHECK_FALSE(endpoint->health.accepts(fixture.now + std::chrono::milliseconds(600)));
}

TEST_CASE("RequestPlacer.PlainRequestsPreferOwnFailureDomainThenLeastLoaded")
{
    PlacerFixture fixture(2, 6);
    CHECK(fixture.place(plainQuery()).endpoint->registration.failureDomain.value() == "odd");
    CHECK(fixture.place(plainQuery()).endpoint->registration.failureDomain.value() == "even");
}

TEST_CASE("RequestPlacer.FullEndpointsGetNoPlainRequests")
{
    PlacerFixture fixture(2, 2);
    for (int i = 0; i < 4; ++i)
        CHECK(fixture.place(plainQuery()).endpoint != nullptr);
    CHECK(fixture.place(plainQuery()).endpoint == nullptr);
}

TEST_CASE("RequestPlacer.TriedAndSuspendedEndpointsAreExcluded")
{
    PlacerFixture fixture(3);
    PlacementQuery query = plainQuery();
    query.tried = {units::EndpointId("e0")};
    const auto suspended = fixture.registry.available(TestPool)[1];
    suspended->health.onFailure(fixture.now);
    suspended->health.onFailure(fixture.now);
    for (int i = 0; i < 4; ++i)
        CHECK(fixture.place(query).endpoint->registration.id.value() == "e2");
}

// Guards against giving up a request because this host may not place it on a limited endpoint,
// though the host that it asks may.
TEST_CASE("RequestPlacer.LimitedEndpointIsFoundWhileTheShareOfItsLimitIsLent")
{
    PlacerFixture fixture(1);
    fixture.registry.available(TestPool)[0]->rateLimiter.setLimit(1.0, 0.5, fixture.now);
    fixture.placer.shares(false).setOwnShare(0.5, fixture.now);
    fixture.placer.shares(false).lendTo("coordinator", fixture.now);
    const PlacementQuery query = modelQuery("s", 100, 100);
    CHECK(fixture.placer.hasEndpoint(query, fixture.registry.available(TestPool), fixture.now));
    CHECK(fixture.place(query).endpoint == nullptr);
}

// Guards against exceeding an endpoint's rate limit, and against leaving the others idle.
TEST_CASE("RequestPlacer.RateLimitIsRespectedAndOtherEndpointsGetTheRest")
{
    for (const bool runsModel : {true, false}) {
        PlacerFixture fixture(2);
        const EndpointRegistry::Status limited = fixture.registry.available(TestPool)[0];
        limited->rateLimiter.setLimit(1.0, 0.5, fixture.now);
        int onLimited = 0;
        for (int i = 0; i < 400; ++i) {
            fixture.now += std::chrono::milliseconds(10);
            PlacementQuery query = modelQuery("s" + std::to_string(i), 100, 100);
            query.runsModel = runsModel;
            const PlacementChoice choice = fixture.place(query);
            REQUIRE(choice.endpoint != nullptr);
            onLimited += choice.endpoint == limited ? 1 : 0;
            fixture.placer.onEvent(fixture.lastTicket(), PlacementEvent::Completed, fixture.now);
        }
        CHECK(onLimited >= 2);
        CHECK(onLimited <= 5);
    }
}

// Guards against hosts that together use more slots of an endpoint than it has, because each uses
// one whatever its share is.
TEST_CASE("RequestPlacer.HostsTogetherUseTheSlotsOfAnEndpointThatSurvivesFewRejections")
{
    constexpr int Slots = 16;
    for (const int hosts : {1, 3, 8, 40, 81}) {
        for (const int lenders : {0, 1, hosts / 2, hosts - 1}) {
            int open = 0;
            for (int host = 0; host < hosts; ++host) {
                PlacerFixture fixture(1, Slots);
                fixture.registry.available(TestPool)[0]->maxRejections = 2;
                ShareDelegation &shares = fixture.placer.shares(false);
                shares.setOwnShare(1.0 / hosts, fixture.now);
                const bool isLender = host != 0 && host <= lenders;
                if (isLender)
                    shares.lendTo("coordinator", fixture.now);
                for (int lender = 1; host == 0 && lender <= lenders; ++lender)
                    shares.borrow(std::to_string(lender), 1.0 / hosts, fixture.now);
                for (int i = 0; i < 2 * Slots; ++i) {
                    const bool isPlaced
                        = fixture.place(modelQuery("s", 100, 100)).endpoint != nullptr;
                    CHECK_FALSE((isPlaced && isLender));
                    open += isPlaced ? 1 : 0;
                    // Accepted, so that the next one may be placed beside it.
                    fixture.placer.onEvent(fixture.lastTicket(), PlacementEvent::FirstEvent,
                                           fixture.now);
                }
            }
            CHECK_MESSAGE(open <= Slots, hosts, " hosts, lenders ", lenders);
            if (lenders == hosts - 1)
                CHECK(open >= Slots - 1);
        }
    }
}
