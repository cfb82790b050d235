#include <scheduling/cellfixture.h>

#include <doctest/doctest.h>

namespace monsoongrade::scheduling {

namespace {

using std::chrono::seconds;

// Thirty-two slots; the highest tier's target is five seconds, and an answer of the lowest tier has
// been seen to take the time that the test says, at 30 tokens a second.
class KeptSlotsFixture : public CellFixture
{
public:
    KeptSlotsFixture()
    {
        policy.endpoints = {{units::EndpointId("large engine"), 32}};
        scheduler.configure(policy);
    }

    void fillWithLow(int secondsEach)
    {
        ask("seen", "low");
        release(0, ReleaseOutcome::Completed, seconds(secondsEach), 30 * secondsEach);
        for (int i = 0; i < 40; ++i)
            ask("low-" + std::to_string(i), "low");
    }

    std::size_t held() const { return scheduler.held(); }
};

} // namespace

// Long answers of the lowest tier are asked for in one moment, and for twenty seconds none will
// end. A coach's summary comes a second later: with all slots taken it would wait for as long.
TEST_CASE_FIXTURE(KeptSlotsFixture, "CellScheduler.LongAnswersOfALowerTierDoNotTakeTheLastSlots")
{
    fillWithLow(20);
    CHECK(held() == 29);
    clock.advance(seconds(1));
    ask("summary", "high");
    CHECK(held() == 30);
    CHECK(sink.grants.back().request == units::RequestId("summary"));
}

// Once the running ones are expected to end within the target, nothing needs to be kept.
TEST_CASE_FIXTURE(KeptSlotsFixture, "CellScheduler.KeepsNoSlotsOnceSomeComeFreeInTime")
{
    fillWithLow(20);
    clock.advance(seconds(16));
    scheduler.tick();
    CHECK(held() == 32);
}

TEST_CASE_FIXTURE(KeptSlotsFixture, "CellScheduler.KeepsNoSlotsFromShortAnswers")
{
    fillWithLow(3);
    CHECK(held() == 32);
}

} // namespace monsoongrade::scheduling
