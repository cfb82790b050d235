#include "deskworld.h"

#include <doctest/doctest.h>

using namespace monsoongrade;
using namespace monsoongrade::routing;

TEST_CASE("RequestPlacer.LongReadGoesWhereItDelaysFewStreams")
{
    // One endpoint runs 40 streams and the other five. A chunk of a long prompt holds up all
    // streams of its endpoint, so the callers of 40 streams would wait for it in place of five,
    // whichever endpoint is the first by hash.
    DeskWorld world(2);
    const auto run = [&](int streams, const std::string &endpoint, const std::string &other) {
        PlacementQuery query = modelQuery("short", 350, 100);
        query.tried = {units::EndpointId(other)};
        for (int i = 0; i < streams; ++i) {
            REQUIRE(world.place(query).endpoint->registration.id.value() == endpoint);
            world.desk.onEvent(world.lastTicket(), PlacementEvent::FirstEvent, world.now);
        }
    };
    run(40, "e0", "e1");
    run(5, "e1", "e0");
    for (int subject = 0; subject < 8; ++subject) {
        const auto choice = world.place(modelQuery("cold" + std::to_string(subject), 13300, 3720));
        CHECK_MESSAGE(choice.endpoint->registration.id.value() == "e1", "subject ", subject,
                      ": expected the endpoint with five streams, got the one with 40");
        world.desk.onEvent(world.lastTicket(), PlacementEvent::FirstEvent, world.now);
        world.desk.onEvent(world.lastTicket(), PlacementEvent::Completed, world.now);
    }
}

TEST_CASE("RequestPlacer.LongReadFindsRoomWhereAnotherOneWould")
{
    // In an overload short prompts keep every endpoint reading. A caller with a prompt of 54,000
    // tokens would wait until it leaves if its own size counted against the room at the endpoint.
    DeskWorld world(1);
    world.place(modelQuery("short", 0, 9000));
    PlacementQuery longest = modelQuery("longest", 0, 54000);
    longest.mayWait = true;
    CHECK_FALSE(world.place(longest).isWaiting);
    PlacementQuery next = modelQuery("next", 0, 12000);
    next.mayWait = true;
    CHECK(world.place(next).isWaiting);
}
