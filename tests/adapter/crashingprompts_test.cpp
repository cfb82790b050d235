#include "crashingworkers.h"

using namespace monsoongrade;
using namespace monsoongrade::platform;

namespace {

constexpr int MaxCrashes = 5; // over all requests with the part
const std::string Shared = "aa:60";
const std::string Fatal = FatalPart + ":20";

} // namespace

// Guards against a part of prompts that crashes one endpoint after the other in different requests.
TEST_CASE("CrashingPrompts.RequestsWithAFatalPartStopReachingEndpoints")
{
    CrashFixture fixture;
    fixture.callWithParts(Shared);
    for (int i = 0; i < 12; ++i)
        fixture.callWithParts(Shared + "," + Fatal);
    CHECK(fixture.crashes() <= MaxCrashes);
    const auto refused = fixture.callWithParts(Shared + "," + Fatal);
    CHECK(refused->status() == 503);
    CHECK_FALSE(standins::headerIn(refused->received(), "Retry-After").empty());
}

// Guards against refusing sound requests that share other parts with those that crash endpoints.
TEST_CASE("CrashingPrompts.SoundRequestsWithTheOtherPartsAreServed")
{
    CrashFixture fixture;
    for (int i = 0; i < 12; ++i) {
        fixture.callWithParts(Shared + "," + Fatal + ",bb:20");
        CHECK(fixture.callWithParts(Shared)->status() == 200);
        CHECK(fixture.callWithParts(Shared + ",bb:20")->status() == 200);
    }
    CHECK(fixture.crashes() <= MaxCrashes);
}

// Guards against blaming the first part because no sound request with it has been served yet.
TEST_CASE("CrashingPrompts.FirstPartIsServedThoughItWasOnlySeenInCrashes")
{
    CrashFixture fixture;
    for (int i = 0; i < 12; ++i)
        fixture.callWithParts(Shared + "," + Fatal);
    CHECK(fixture.crashes() <= MaxCrashes);
    for (int i = 0; i < 4; ++i)
        CHECK(fixture.callWithParts(Shared)->status() == 200);
}

// Guards against missing a fatal part that is the first one.
TEST_CASE("CrashingPrompts.FatalPartMayBeTheFirst")
{
    CrashFixture fixture;
    for (int i = 0; i < 12; ++i)
        fixture.callWithParts(Fatal + ",s" + std::to_string(i) + ":20");
    CHECK(fixture.crashes() <= MaxCrashes);
    CHECK(fixture.callWithParts(Shared)->status() == 200);
}

// Guards against counting the crashes of each workspace by themselves.
TEST_CASE("CrashingPrompts.RequestsOfAnotherKeyAreRefusedAsWell")
{
    CrashFixture fixture;
    for (int i = 0; i < 6; ++i)
        fixture.callWithParts(Shared + "," + Fatal);
    const int before = fixture.crashes();
    CHECK(fixture.callWithParts("other:60," + Fatal, "k2")->status() == 503);
    CHECK(fixture.crashes() == before);
}
