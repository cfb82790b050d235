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

TEST_CASE("EventRelay.PassesCompleteEventsOnly")
{
    EventRelay relay;
    CHECK(relay.feed("id: 1\nda", at(0)).empty());
    CHECK(relay.feed("ta: d\n\nid: 2", at(0)).substr(0, 6) == "id: 1\n");
    CHECK(relay.lastId() == "1");
    CHECK(relay.hasPartialEvent());
}

TEST_CASE("EventRelay.ResumeOmitsEventsTheClientHas")
{
    EventRelay relay;
    relay.feed(event(1) + event(2) + "id: 3\nda", at(0));
    relay.resume();
    CHECK(relay.feed(event(2) + event(3), at(0)) == event(3));
    CHECK_FALSE(relay.hasGap());
}

TEST_CASE("EventRelay.LongestPauseIncludesTheChangeOfEndpoint")
{
    // From these times the log shows whether the first event of a slow stream was late or the
    // stream paused. A resume counts as a pause.
    EventRelay relay;
    CHECK_FALSE(relay.firstEventAt());
    relay.feed("id: 1\n", at(5)); // an incomplete event does not count
    relay.feed("data: d\n\n", at(10));
    relay.feed(event(2), at(40));
    relay.resume();
    relay.feed(event(2), at(90)); // the client already has it
    relay.feed(event(3), at(140));
    CHECK(relay.firstEventAt() == at(10));
    CHECK(relay.longestPause() == std::chrono::milliseconds(100));
}

TEST_CASE("EventRelay.ResumeWithMissingEventIsAGap")
{
    EventRelay relay;
    relay.feed(event(1) + event(2), at(0));
    relay.resume();
    relay.feed(event(4), at(0));
    CHECK(relay.hasGap());
}
