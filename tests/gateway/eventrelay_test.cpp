#include <monsoongrade/gateway/eventrelay.h>

#include <doctest/doctest.h>

using namespace monsoongrade;
using gateway::EventRelay;

namespace {

units::TimePoint at(int milliseconds)
{
    return units::TimePoint(std::chrono::milliseconds(milliseconds));
}

std::string event(int number)
{
    return "id: " + std::to_string(number) + "\ndata: d\n\n";
}

} // namespace

TEST_CASE("EventRelay.PassesWholeEventsOnly")
{
    EventRelay relay;
    CHECK(relay.take("id: 1\nda", at(0)).empty());
    CHECK(relay.take("ta: d\n\nid: 2", at(0)).substr(0, 6) == "id: 1\n");
    CHECK(relay.lastId() == "1");
    CHECK(relay.hasPartialEvent());
}

TEST_CASE("EventRelay.ResumeLeavesOutWhatTheClientHas")
{
    EventRelay relay;
    relay.take(event(1) + event(2) + "id: 3\nda", at(0));
    relay.resume();
    CHECK(relay.take(event(2) + event(3), at(0)) == event(3));
    CHECK_FALSE(relay.hasGap());
}

TEST_CASE("EventRelay.TellsTheLongestPauseWithTheChangeOfEndpoint")
{
    // A caller complains of a late stream. The log has to tell whether the first event was late or
    // the stream paused, and a resume is a pause too.
    EventRelay relay;
    CHECK_FALSE(relay.firstEventAt());
    relay.take("id: 1\n", at(5)); // half an event is none
    relay.take("data: d\n\n", at(10));
    relay.take(event(2), at(40));
    relay.resume();
    relay.take(event(2), at(90)); // the client has it
    relay.take(event(3), at(140));
    CHECK(relay.firstEventAt() == at(10));
    CHECK(relay.longestPause() == std::chrono::milliseconds(100));
}

TEST_CASE("EventRelay.ResumeWithAMissingEventIsAGap")
{
    EventRelay relay;
    relay.take(event(1) + event(2), at(0));
    relay.resume();
    relay.take(event(4), at(0));
    CHECK(relay.hasGap());
}
