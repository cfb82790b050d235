#include <scheduling/cellfixture.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <map>

namespace monsoongrade::scheduling {

namespace {

using std::chrono::milliseconds;
using units::EndpointId;

// Four engines of eight slots under a steady overload. An engine answers 50 tokens in the time
// that the test sets for it, or fails at once.
class HealthFixture : public CellFixture
{
public:
    HealthFixture()
    {
        policy.endpoints.clear();
        for (int i = 0; i < 4; ++i)
            policy.endpoints.push_back({EndpointId("engine-" + std::to_string(i)), 8});
        addClass("high", 0).maxWait = std::chrono::hours(1);
        scheduler.configure(policy);
    }

    // Returns the grants that engine 0 got.
    int run(units::Duration time)
    {
        const std::size_t before = sink.grants.size();
        for (const units::TimePoint end = clock.now() + time; clock.now() < end;) {
            for (int i = 0; i < 4; ++i)
                ask("request-" + std::to_string(nextRequest_++), "high");
            clock.advance(milliseconds(100));
            scheduler.tick();
            releaseFinished();
        }
        return static_cast<int>(
            std::count_if(sink.grants.begin() + static_cast<std::ptrdiff_t>(before),
                          sink.grants.end(), [](const SlotGrant &grant) { return isSick(grant); }));
    }

    int limit() const { return scheduler.limitOf(EndpointId("engine-0")); }

    units::Duration sickTime = milliseconds(1000);
    ReleaseOutcome sickOutcome = ReleaseOutcome::Completed;

private:
    static bool isSick(const SlotGrant &grant) { return grant.endpoint == EndpointId("engine-0"); }

    void releaseFinished()
    {
        started_.resize(sink.grants.size(), clock.now());
        released_.resize(sink.grants.size(), false);
        for (std::size_t i = firstHeld_; i < started_.size(); ++i) {
            const bool sick = isSick(sink.grants[i]);
            const units::Duration takes = sick ? sickTime : milliseconds(1000);
            if (released_[i] || clock.now() - started_[i] < takes)
                continue;
            released_[i] = true;
            const bool fails = sick && sickOutcome != ReleaseOutcome::Completed;
            release(i, sick ? sickOutcome : ReleaseOutcome::Completed, takes, fails ? 0 : 50);
        }
        while (firstHeld_ < released_.size() && released_[firstHeld_])
            ++firstHeld_;
    }

    std::vector<units::TimePoint> started_;
    std::vector<bool> released_;
    std::size_t firstHeld_ = 0;
    int nextRequest_ = 0;
};

} // namespace

// An engine runs at a third of its speed and its report says nothing yet. Its measured speed
// alone must shrink its share, and give it back when it has recovered.
TEST_CASE_FIXTURE(HealthFixture, "EndpointBook.SlowEndpointShrinksAndComesBack")
{
    run(std::chrono::seconds(10));
    CHECK(limit() == 8);
    sickTime = milliseconds(3000);
    run(std::chrono::seconds(30));
    CHECK(limit() <= 2);
    sickTime = milliseconds(1000);
    run(std::chrono::seconds(60));
    CHECK(limit() == 8);
}

// A crashed engine refuses each connection in a millisecond, so that it always looks free. It
// must not draw in the whole audience.
TEST_CASE_FIXTURE(HealthFixture, "EndpointBook.EndpointThatFailsFastGetsProbesOnly")
{
    sickTime = milliseconds(1);
    sickOutcome = ReleaseOutcome::EndpointFailed;
    run(std::chrono::seconds(10));
    CHECK(run(std::chrono::seconds(60)) <= 10);
    sickTime = milliseconds(1000);
    sickOutcome = ReleaseOutcome::Completed;
    run(std::chrono::seconds(60));
    CHECK(limit() == 8);
}

// A frozen engine answers nothing at all and its slots stay taken. After it woke it must be
// used fully again.
TEST_CASE_FIXTURE(HealthFixture, "EndpointBook.SilentEndpointGetsProbesOnlyAndComesBack")
{
    run(std::chrono::seconds(10));
    sickTime = std::chrono::seconds(60);
    run(std::chrono::seconds(20));
    CHECK(limit() == 1);
    CHECK(run(std::chrono::seconds(30)) <= 8);
    sickTime = milliseconds(1000);
    run(std::chrono::seconds(90));
    CHECK(limit() == 8);
}

// Every coach sends the same footage. All their requests have one prefix, and the endpoint that
// has it cached must not get more than a little more of them than the others.
TEST_CASE_FIXTURE(CellFixture, "EndpointBook.APopularPrefixMakesNoHotSpot")
{
    policy.endpoints = {{EndpointId("a"), 8}, {EndpointId("b"), 8}, {EndpointId("c"), 8}};
    scheduler.configure(policy);
    for (int i = 0; i < 12; ++i) {
        SlotAsk ask = makeAsk(std::to_string(i), "high");
        ask.prefix = units::PrefixHash(7);
        scheduler.ask(ask);
    }
    std::map<EndpointId, int> granted;
    for (const SlotGrant &grant : sink.grants)
        ++granted[grant.endpoint];
    for (const auto &entry : granted)
        CHECK_MESSAGE(entry.second <= 6, entry.first);
    CHECK(granted.size() == 3);
}

TEST_CASE("RecentPrefixes.RemembersTheLastOnesOnly")
{
    RecentPrefixes prefixes;
    for (std::uint64_t i = 1; i <= RecentPrefixes::Most + 1; ++i)
        prefixes.use(units::PrefixHash(i));
    CHECK_FALSE(prefixes.contains(units::PrefixHash(1)));
    CHECK(prefixes.contains(units::PrefixHash(2)));
    CHECK_FALSE(prefixes.contains(units::PrefixHash()));
}

TEST_CASE("LengthEstimator.LearnsByWorkspaceAndStaysBounded")
{
    LengthEstimator lengths;
    const units::ClassName pricing("pricing");
    for (std::size_t i = 0; i < LengthEstimator::MaxWorkspaces + 100; ++i)
        lengths.learn(pricing, units::WorkspaceName(std::to_string(i)), i == 0 ? 5000 : 50);
    CHECK(lengths.workspaces() == LengthEstimator::MaxWorkspaces);
    CHECK(lengths.estimate(pricing, units::WorkspaceName("1000")) == doctest::Approx(50));
    CHECK(lengths.estimate(pricing, units::WorkspaceName("0")) < 100);
}

} // namespace monsoongrade::scheduling
