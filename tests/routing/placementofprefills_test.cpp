#include "placerfixture.h"

#include <doctest/doctest.h>

using namespace monsoongrade;
using namespace monsoongrade::routing;

TEST_CASE("RequestPlacer.LongPrefillPrefersEndpointWithFewStreams")
{
    // One endpoint runs 40 streams and the other five. Each chunk of a long prompt delays all
    // streams of its endpoint, so the one with five is to be chosen, whichever is first by hash.
    PlacerFixture fixture(2);
    const auto run = [&](int streams, const std::string &endpoint, const std::string &other) {
        PlacementQuery query = modelQuery("short", 350, 100);
        query.tried = {units::EndpointId(other)};
        for (int i = 0; i < streams; ++i) {
            REQUIRE(fixture.place(query).endpoint->registration.id.value() == endpoint);
            fixture.placer.onEvent(fixture.lastTicket(), PlacementEvent::FirstEvent, fixture.now);
        }
    };
    run(40, "e0", "e1");
    run(5, "e1", "e0");
    for (int subject = 0; subject < 8; ++subject) {
        const auto choice
            = fixture.place(modelQuery("cold" + std::to_string(subject), 13300, 3720));
        CHECK_MESSAGE(choice.endpoint->registration.id.value() == "e1", "subject ", subject,
                      ": expected the endpoint with five streams, got the one with 40");
        fixture.placer.onEvent(fixture.lastTicket(), PlacementEvent::FirstEvent, fixture.now);
        fixture.placer.onEvent(fixture.lastTicket(), PlacementEvent::Completed, fixture.now);
    }
}

TEST_CASE("RequestPlacer.LongPrefillIsNotQueuedBecauseOfItsOwnSize")
{
    // In an overload short prompts keep every endpoint busy. A request with 54,000 prompt tokens
    // would be queued until it expires if its own size counted against the endpoint's limit.
    PlacerFixture fixture(1);
    fixture.place(modelQuery("short", 0, 9000));
    PlacementQuery longest = modelQuery("longest", 0, 54000);
    longest.mayWait = true;
    CHECK_FALSE(fixture.place(longest).isWaiting);
    PlacementQuery next = modelQuery("next", 0, 12000);
    next.mayWait = true;
    CHECK(fixture.place(next).isWaiting);
}
