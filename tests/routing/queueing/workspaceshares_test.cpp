#include <monsoongrade/routing/queueing/workspaceshares.h>

#include <doctest/doctest.h>

using namespace monsoongrade;
using namespace monsoongrade::routing::queueing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr units::TimePoint Start = units::TimePoint(std::chrono::hours(1));
const units::PoolName Pool("p");
constexpr units::Tier Tier{2};

struct SharesFixture
{
    void use(const std::string &workspace, std::int64_t demanded, std::int64_t placed)
    {
        shares.onArrived(Pool, Tier, units::WorkspaceName(workspace), demanded, now);
        shares.onPlaced(Pool, Tier, units::WorkspaceName(workspace), placed, now);
    }
    std::vector<WorkspaceShares::Change> updateAfter(units::Duration passed)
    {
        now += passed;
        return shares.update(now);
    }
    bool isOver(const std::string &workspace) const
    {
        return shares.isOverShare(Pool, Tier, units::WorkspaceName(workspace));
    }

    WorkspaceShares shares;
    units::TimePoint now = Start;
};

} // namespace

TEST_CASE("WorkspaceShares.UnusedCapacityGoesToOtherWorkspaces")
{
    // With equal parts of 40,000 tokens, b would be over its share although a leaves half of its
    // part unused. The level is 50,000.
    SharesFixture f;
    f.use("a", 20000, 20000);
    f.use("b", 48000, 48000);
    f.use("c", 160000, 52000);
    const auto changes = f.updateAfter(milliseconds(100));
    CHECK(!f.isOver("a"));
    CHECK(!f.isOver("b"));
    CHECK(f.isOver("c"));
    REQUIRE(changes.size() == 1);
    CHECK(changes[0].workspace.value() == "c");
    CHECK(changes[0].isOverShare);
    CHECK(f.shares.overShareCount() == 1);
}

TEST_CASE("WorkspaceShares.NoneIsOverWhileAllDemandIsPlaced")
{
    // A large workspace must not be put behind others because of its size alone.
    SharesFixture f;
    f.use("a", 1000, 1000);
    f.use("b", 900000, 900000);
    CHECK(f.updateAfter(milliseconds(100)).empty());
    CHECK(!f.isOver("b"));
}

TEST_CASE("WorkspaceShares.OneActiveWorkspaceIsNeverOver")
{
    // Requests without a workspace count as one. Deployments without workspaces are served as
    // before, also in an overload.
    SharesFixture f;
    f.use("", 900000, 100000);
    CHECK(f.updateAfter(milliseconds(100)).empty());
    CHECK(!f.isOver(""));
}

TEST_CASE("WorkspaceShares.PoolsAndTiersHaveSharesOfTheirOwn")
{
    // An overload in one tier or pool must not affect the workspace's requests in another one.
    SharesFixture f;
    f.use("a", 1000, 1000);
    f.use("b", 900000, 100000);
    f.shares.onArrived(Pool, units::Tier(0), units::WorkspaceName("b"), 1000, f.now);
    f.updateAfter(milliseconds(100));
    CHECK(f.isOver("b"));
    CHECK(!f.shares.isOverShare(Pool, units::Tier(0), units::WorkspaceName("b")));
    CHECK(!f.shares.isOverShare(units::PoolName("q"), Tier, units::WorkspaceName("b")));
}

TEST_CASE("WorkspaceShares.CountsDecay")
{
    // A workspace that overloaded the pool some time ago must not be refused for it now, and the
    // names of past workspaces must not accumulate.
    SharesFixture f;
    f.use("a", 100000, 100000);
    f.use("b", 400000, 200000);
    f.updateAfter(milliseconds(100));
    CHECK(f.isOver("b"));
    f.updateAfter(seconds(12));
    f.use("a", 60000, 30000);
    f.use("b", 20000, 10000);
    f.updateAfter(milliseconds(100));
    CHECK(!f.isOver("b"));
    f.updateAfter(seconds(60));
    CHECK(f.shares.overShareCount() == 0);
    CHECK(f.updateAfter(milliseconds(100)).empty());
}

TEST_CASE("WorkspaceShares.StatusChangesAtMostEvery100Milliseconds")
{
    // Each change re-sorts the waiting requests of a workspace, which takes too much time for each
    // placement.
    SharesFixture f;
    f.use("a", 1000, 1000);
    f.updateAfter(milliseconds(100));
    f.use("b", 900000, 100000);
    CHECK(f.updateAfter(milliseconds(99)).empty());
    CHECK(!f.isOver("b"));
    CHECK(f.updateAfter(milliseconds(1)).size() == 1);
    CHECK(f.isOver("b"));
}

TEST_CASE("WorkspaceShares.ManyWorkspacesAreUpdatedLessOftenAndBounded")
{
    // Thousands of workspaces must not take a larger part of the CPU, and arbitrary names sent by
    // clients must not use up the memory. Names beyond the bound are never over their share.
    SharesFixture f;
    f.use("hot", 9000000, 1000000);
    for (int i = 0; i < 20000; ++i)
        f.use("w" + std::to_string(i), 100, 100);
    f.use("beyond", 9000000, 1000000);
    f.updateAfter(milliseconds(800));
    CHECK(!f.isOver("hot"));
    f.updateAfter(milliseconds(100));
    CHECK(f.isOver("hot"));
    CHECK(!f.isOver("beyond"));
    CHECK(f.shares.overShareCount() == 1);
}
