#include <monsoongrade/routing/crashtracker.h>

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace monsoongrade;
using namespace monsoongrade::routing;
using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

constexpr std::size_t DatagramItems = 24;

const RequestIdentity Request{units::WorkspaceName("w1"), RequestDigest(1)};

EndpointInstance endpointNumber(int number)
{
    return {units::EndpointId("e" + std::to_string(number)), Incarnation(1)};
}

void gossip(CrashTracker &from, CrashTracker &to, units::TimePoint now)
{
    for (const CrashUpdate &update : from.takeUpdates(DatagramItems, now))
        to.receive(update, now);
}

const units::TimePoint Now{hours(1)};

} // namespace

// Guards against blaming requests for endpoints that crashed because they had to reject others.
TEST_CASE("CrashExplanations.CrashesAfterRejectionsQuarantineNothing")
{
    CrashTracker tracker;
    for (int endpoint = 0; endpoint < 8; ++endpoint) {
        tracker.onRejected(endpointNumber(endpoint), Now);
        tracker.onCrash(Request, endpointNumber(endpoint), Now + milliseconds(900));
    }
    CHECK_FALSE(tracker.quarantineRemaining(Request, Now + seconds(1)));
}

// Guards against blame that stays because the host that got the rejections is not the one whose
// requests ran.
TEST_CASE("CrashExplanations.RejectionsToOtherHostsClearTheRequest")
{
    CrashTracker rejected;
    CrashTracker running;
    CrashTracker third;
    for (int endpoint = 0; endpoint < 3; ++endpoint) {
        rejected.onRejected(endpointNumber(endpoint), Now);
        running.onCrash(Request, endpointNumber(endpoint), Now + milliseconds(10));
    }
    const units::TimePoint first = Now + milliseconds(200);
    REQUIRE(running.quarantineRemaining(Request, first));
    gossip(running, rejected, first);
    gossip(running, third, first);
    CHECK_FALSE(rejected.quarantineRemaining(Request, first));
    gossip(rejected, running, first + milliseconds(250));
    gossip(rejected, third, first + milliseconds(250));
    CHECK_FALSE(running.quarantineRemaining(Request, first + milliseconds(250)));
    CHECK_FALSE(third.quarantineRemaining(Request, first + milliseconds(250)));
    // Repeated updates about the same crashes are ignored.
    gossip(running, third, first + milliseconds(500));
    CHECK_FALSE(third.quarantineRemaining(Request, first + milliseconds(500)));
}

// Guards against blame that stays because a rejection is read after the end of another connection.
TEST_CASE("CrashExplanations.RejectionReadAfterTheCrashClearsTheRequest")
{
    CrashTracker tracker;
    for (int endpoint = 0; endpoint < 3; ++endpoint) {
        tracker.onCrash(Request, endpointNumber(endpoint), Now);
        tracker.onRejected(endpointNumber(endpoint), Now + milliseconds(20));
    }
    CHECK_FALSE(tracker.quarantineRemaining(Request, Now + milliseconds(20)));
}

// Guards against excusing a request that crashes endpoints which rejected others long before.
TEST_CASE("CrashExplanations.EarlierRejectionsExplainNothing")
{
    CrashTracker tracker;
    for (int endpoint = 0; endpoint < 3; ++endpoint) {
        tracker.onRejected(endpointNumber(endpoint), Now);
        tracker.onCrash(Request, endpointNumber(endpoint), Now + seconds(2));
    }
    CHECK(tracker.quarantineRemaining(Request, Now + seconds(2)));
}

// Guards against a request that crashes one brittle endpoint after the other, and against a
// quarantine for few crashes of endpoints that crash for other reasons as well.
TEST_CASE("CrashExplanations.CrashOfABrittleEndpointCountsHalf")
{
    for (const bool isKnownBefore : {true, false}) {
        CrashTracker tracker;
        for (int endpoint = 0; endpoint < 6; ++endpoint) {
            CHECK_FALSE(tracker.quarantineRemaining(Request, Now));
            if (isKnownBefore)
                tracker.onBrittle(endpointNumber(endpoint), Now);
            tracker.onCrash(Request, endpointNumber(endpoint), Now);
            if (!isKnownBefore)
                tracker.onBrittle(endpointNumber(endpoint), Now);
        }
        CHECK(tracker.quarantineRemaining(Request, Now));
    }
}

// Guards against crashes that count in full again once the announcement is forgotten.
TEST_CASE("CrashExplanations.CrashOfABrittleEndpointCountsHalfForAsLongAsItIsKept")
{
    CrashTracker tracker;
    for (int endpoint = 0; endpoint < 6; ++endpoint) {
        tracker.onBrittle(endpointNumber(endpoint), Now);
        tracker.onCrash(Request, endpointNumber(endpoint), Now);
    }
    tracker.takeUpdates(DatagramItems, Now + minutes(11));
    tracker.onBrittle(endpointNumber(6), Now + minutes(12));
    tracker.onCrash(Request, endpointNumber(6), Now + minutes(12));
    const auto remaining = tracker.quarantineRemaining(Request, Now + minutes(12));
    REQUIRE(remaining);
    CHECK(*remaining == minutes(10));
}
