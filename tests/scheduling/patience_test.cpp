#include <scheduling/cellfixture.h>

#include <doctest/doctest.h>

namespace monsoongrade::scheduling {

namespace {

using std::chrono::seconds;
using units::RequestId;

// An answer of the high class has been seen; it took 3.3 s.
class PatienceFixture : public CellFixture
{
public:
    PatienceFixture()
    {
        ask("seen", "high");
        release(0, ReleaseOutcome::Completed, std::chrono::milliseconds(3300), 100);
    }

    void askWithPatience(const std::string &request, const std::string &className,
                         units::Duration patience, units::Duration waited = {})
    {
        SlotAsk ask = makeAsk(request, className);
        ask.patience = patience;
        ask.waited = waited;
        scheduler.ask(ask);
    }
};

} // namespace

// A coach comes back for the third time with ten seconds left and waits for four of them. Were
// the answer begun now, the coach would leave in the middle, its tokens would be wasted and
// whoever stays would have waited for nothing.
TEST_CASE_FIXTURE(PatienceFixture, "CellScheduler.DoesNotBeginWhatItsCallerWillNotSeeTheEndOf")
{
    ask("running", "high");
    askWithPatience("leaves", "high", seconds(10));
    ask("stays", "high");
    clock.advance(seconds(4));
    releaseLast();
    REQUIRE(sink.grants.size() == 3);
    CHECK(sink.grants[2].request == RequestId("stays"));
    REQUIRE(sink.refusals.size() == 1);
    CHECK(sink.refusals[0].request == RequestId("leaves"));
    CHECK(sink.refusals[0].code == units::ResultCode::DeadlineHopeless);
    CHECK(sink.refusals[0].retryAfter > units::Duration::zero());
}

// The caller leaves before even a short answer could end. It hears so on arrival, also if a slot
// is free; time that it has waited already counts.
TEST_CASE_FIXTURE(PatienceFixture, "CellScheduler.RefusesOnArrivalWhoeverLeavesTooSoon")
{
    askWithPatience("too soon", "high", seconds(2));
    askWithPatience("waited before", "high", seconds(10), seconds(8));
    CHECK(sink.grants.size() == 1);
    REQUIRE(sink.refusals.size() == 2);
    CHECK(sink.refusals[0].code == units::ResultCode::DeadlineHopeless);
    askWithPatience("enough for the mean", "high", seconds(5));
    CHECK(sink.grants.size() == 2);
}

// Every caller of a class says that it stays for less than an answer is expected to take; the
// expectation may be wrong. The class must not be shut out for ever: one of them begins, and what
// it took is learned.
TEST_CASE_FIXTURE(PatienceFixture, "CellScheduler.AClassOfHastyCallersIsNotShutOut")
{
    askWithPatience("first", "high", seconds(2));
    clock.advance(policy.longestWait(units::ClassName("high")));
    scheduler.tick();
    askWithPatience("second", "high", seconds(2));
    REQUIRE(sink.grants.size() == 2);
    CHECK(sink.grants[1].request == RequestId("second"));
    for (int i = 0; i < 20; ++i) {
        releaseLast();
        clock.advance(policy.longestWait(units::ClassName("high")));
        askWithPatience(std::to_string(i), "high", seconds(2));
    }
    releaseLast();
    askWithPatience("last", "high", seconds(2));
    CHECK(sink.grants.size() == 23);
}

// Lengths are guessed sixteen times too long. Reckoned by these, every caller who says how long it
// stays would be refused, though its answer takes a second.
TEST_CASE("CellScheduler.WrongLengthsShutNobodyOutWhoSaysHowLongItStays")
{
    class LongLengths : public LengthEstimator
    {
    public:
        double estimate(const units::ClassName & /*className*/,
                        const units::WorkspaceName & /*workspace*/) const override
        {
            return 16000;
        }
    };
    CellFixture fixture;
    CellScheduler scheduler(fixture.clock, fixture.sink, std::make_unique<LongLengths>());
    scheduler.configure(fixture.policy);
    for (std::size_t i = 0; i < 20; ++i) {
        SlotAsk ask = CellFixture::makeAsk(std::to_string(i), "high");
        ask.patience = seconds(10);
        scheduler.ask(ask);
        REQUIRE(fixture.sink.grants.size() == i + 1);
        fixture.clock.advance(seconds(1));
        scheduler.release({fixture.sink.grants[i].id, units::TokenCount(30), seconds(1), {}});
    }
}

} // namespace monsoongrade::scheduling
