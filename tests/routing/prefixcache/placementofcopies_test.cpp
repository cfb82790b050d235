#include "../placerfixture.h"

#include <doctest/doctest.h>

using namespace monsoongrade;
using namespace monsoongrade::routing;

namespace {

// Four endpoints with the links of a deployment that copies. One of them holds the prefix "a".
struct CopyingFixture : PlacerFixture
{
    explicit CopyingFixture(bool isConfigured = true)
        : PlacerFixture(4)
    {
        TrafficPool pool;
        pool.name = TestPool;
        pool.cacheTransfer = CacheTransfer{163840, 1.1e6};
        if (isConfigured)
            placer.setPools({pool});
        holder = placePart().endpoint;
        placer.onEvent(lastTicket(), PlacementEvent::FirstEvent, now);
    }

    PlacementChoice placePart() { return place(modelQuery("a", 13300, 3720)); }
    // Places requests with the prefix until one goes to the other endpoint.
    PlacementChoice placeUntilElsewhere()
    {
        PlacementChoice choice = placePart();
        for (int i = 0; i < 100 && choice.endpoint == holder; ++i)
            choice = placePart();
        return choice;
    }

    EndpointRegistry::Status holder;
};

} // namespace

// Guards against requests that wait for the one holder of a prefix, and against a chosen endpoint
// that is not known to hold the prefix afterwards.
TEST_CASE("PlacementOfCopies.PrefixIsCopiedBeforeItsHolderIsFull")
{
    CopyingFixture fixture;
    const PlacementChoice copied = fixture.placeUntilElsewhere();
    REQUIRE(copied.endpoint != fixture.holder);
    CHECK(copied.cacheSource == fixture.holder->registration.id);
    CHECK(copied.tokensToRead == 3720);
    CHECK(fixture.placer.tokensToRead(*fixture.holder) < 17020);
    CHECK(copied.endpoint->registration.failureDomain
          == fixture.holder->registration.failureDomain);
    // A repeated query gets the same answer.
    const auto again = fixture.placer.choiceOf(fixture.lastTicket());
    REQUIRE(again.has_value());
    CHECK(again->cacheSource == copied.cacheSource);
    // The chosen endpoint holds the prefix now.
    PlacementQuery next = modelQuery("a", 13300, 3720);
    for (const EndpointRegistry::Status &endpoint : fixture.registry.available(TestPool)) {
        if (endpoint != copied.endpoint)
            next.tried.push_back(endpoint->registration.id);
    }
    const PlacementChoice held = fixture.place(next);
    CHECK(held.tokensToRead == 3720);
    CHECK(held.cacheSource.isEmpty());
}

// Guards against copies that no configuration allows.
TEST_CASE("PlacementOfCopies.PoolWithoutConfiguredLinksDoesNotCopy")
{
    CopyingFixture fixture(false);
    const PlacementChoice choice = fixture.placeUntilElsewhere();
    REQUIRE(choice.endpoint != fixture.holder);
    CHECK(choice.cacheSource.isEmpty());
    CHECK(choice.tokensToRead == 17020);
}

// Guards against a copy for a stream that continues, and from an endpoint that failed the request.
TEST_CASE("PlacementOfCopies.NoCopyForAContinuedStreamOrFromATriedEndpoint")
{
    CopyingFixture fixture;
    fixture.holder->leaving = false;
    PlacementQuery query = modelQuery("a", 13300, 3720);
    query.paused = {fixture.holder->registration.id};
    query.softwareVersion = units::SoftwareVersion();
    CHECK(fixture.place(query).cacheSource.isEmpty());
    CopyingFixture other;
    query.softwareVersion.reset();
    query.paused.clear();
    query.tried = {other.holder->registration.id};
    const PlacementChoice retried = other.place(query);
    CHECK(retried.cacheSource.isEmpty());
    CHECK(retried.tokensToRead == 17020);
}

// Guards against a request that is not placed because the holder of its prefix is gone.
TEST_CASE("PlacementOfCopies.RequestIsPlacedWhenTheSourceIsGone")
{
    CopyingFixture fixture;
    fixture.registry.remove(fixture.holder->registration.id, fixture.now, fixture.now);
    const PlacementChoice choice = fixture.placePart();
    REQUIRE(choice.endpoint != nullptr);
    CHECK(choice.cacheSource.isEmpty());
    CHECK(choice.tokensToRead == 17020);
}

// Guards against a new coordinator that copies prefixes before their holders have prefilled them,
// or never.
TEST_CASE("PlacementOfCopies.NewCoordinatorCopiesFromAnnouncedHolders")
{
    CopyingFixture fixture;
    RequestPlacer standby;
    TrafficPool pool;
    pool.name = TestPool;
    pool.cacheTransfer = CacheTransfer{163840, 1.1e6};
    standby.setPools({pool});
    for (const CachedPart &part : fixture.placer.takeNewCachedParts())
        standby.addCachedPart(part, fixture.now);
    PlacementQuery query = modelQuery("a", 13300, 3720);
    query.paused = {fixture.holder->registration.id};
    const auto &available = fixture.registry.available(TestPool);
    // The prefill may still go on when the part is announced.
    CHECK(standby.place({"h", 1}, query, available, fixture.now).cacheSource.isEmpty());
    standby = RequestPlacer();
    standby.setPools({pool});
    standby.addCachedPart(
        {"a", fixture.holder->registration.id, fixture.holder->registration.incarnation},
        fixture.now);
    CHECK(
        standby.place({"h", 2}, query, available, fixture.now + std::chrono::seconds(3)).cacheSource
        == fixture.holder->registration.id);
}
