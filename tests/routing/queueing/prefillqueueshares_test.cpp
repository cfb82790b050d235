#include <monsoongrade/routing/queueing/prefillqueue.h>

#include <doctest/doctest.h>

using namespace monsoongrade;
using namespace monsoongrade::routing;
using namespace monsoongrade::routing::queueing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr units::TimePoint Start = units::TimePoint(std::chrono::hours(1));

PlacementQuery query(std::uint32_t tier, const std::string &workspace, units::Duration targetIn)
{
    PlacementQuery result;
    result.pool = units::PoolName("p");
    result.tier = units::Tier(tier);
    result.workspace = units::WorkspaceName(workspace);
    result.sharedPart = workspace + std::to_string(tier) + std::to_string(targetIn.count());
    result.targetIn = targetIn;
    result.expiresIn = seconds(8);
    return result;
}

std::vector<std::uint64_t> numbers(PrefillQueue &queue, units::TimePoint now)
{
    std::vector<std::uint64_t> result;
    for (const PlacementTicket &ticket : queue.next(100, now))
        result.push_back(ticket.number);
    return result;
}

} // namespace

TEST_CASE("PrefillQueueShares.WorkspacesOverTheirShareGoLastInTheirTier")
{
    // Otherwise the requests of an overloading workspace, which are the most, delay all others. A
    // late request within its share goes before one over it; tiers come first.
    PrefillQueue queue;
    queue.add({"h", 1}, query(1, "hot", milliseconds(900)), 1000, Start, true);
    queue.add({"h", 2}, query(1, "a", milliseconds(950)), 1000, Start);
    queue.add({"h", 3}, query(1, "b", milliseconds(50)), 1000, Start);
    queue.add({"h", 4}, query(2, "c", milliseconds(100)), 1000, Start);
    CHECK(numbers(queue, Start) == std::vector<std::uint64_t>{2, 3, 1, 4});
}

TEST_CASE("PrefillQueueShares.StatusChangesMoveWaitingRequests")
{
    // Requests that were queued before their workspace went over its share must not stay ahead of
    // others, and must return to their place afterwards. The status in another tier is unaffected.
    PrefillQueue queue;
    queue.add({"h", 1}, query(1, "hot", milliseconds(500)), 1000, Start);
    queue.add({"h", 2}, query(1, "hot", milliseconds(50)), 2000, Start);
    queue.add({"h", 3}, query(1, "a", milliseconds(900)), 4000, Start);
    queue.add({"h", 4}, query(2, "hot", milliseconds(300)), 8000, Start);
    queue.add({"h", 5}, query(2, "a", milliseconds(900)), 16000, Start);
    numbers(queue, Start);
    const auto setOver = [&](bool isOver) {
        queue.setOverShare(units::PoolName("p"), units::Tier(1), units::WorkspaceName("hot"),
                           isOver);
    };
    setOver(true);
    CHECK(numbers(queue, Start) == std::vector<std::uint64_t>{3, 1, 2, 4, 5});
    CHECK(queue.tokensAhead(units::Tier(1), false).onTime == 4000);
    CHECK(queue.tokensAhead(units::Tier(1), false).late == 0);
    setOver(false);
    CHECK(numbers(queue, Start) == std::vector<std::uint64_t>{1, 3, 2, 4, 5});
    CHECK(queue.tokensAhead(units::Tier(1), false).onTime == 5000);
    CHECK(queue.tokensAhead(units::Tier(1), false).late == 2000);
}

TEST_CASE("PrefillQueueShares.TokensAheadDependOnTheStatus")
{
    // A request within its share must not be refused because of those that it overtakes. Higher
    // tiers go before it whatever their status.
    PrefillQueue queue;
    queue.add({"h", 1}, query(1, "hot", seconds(1)), 1000, Start, true);
    queue.add({"h", 2}, query(2, "hot", seconds(1)), 2000, Start, true);
    queue.add({"h", 3}, query(2, "a", seconds(1)), 4000, Start);
    CHECK(queue.tokensAhead(units::Tier(1), false).onTime == 0);
    CHECK(queue.tokensAhead(units::Tier(2), false).onTime == 5000);
    CHECK(queue.tokensAhead(units::Tier(2), true).onTime == 7000);
    CHECK(queue.hasWithinShare(units::PoolName("p"), units::Tier(2)));
    CHECK(!queue.hasWithinShare(units::PoolName("p"), units::Tier(1)));
    CHECK(!queue.hasWithinShare(units::PoolName("q"), units::Tier(2)));
    queue.remove({"h", 3});
    CHECK(!queue.hasWithinShare(units::PoolName("p"), units::Tier(2)));
}

TEST_CASE("PrefillQueueShares.DropsRequestsOverTheirShareFirst")
{
    // When more requests expire than are dropped per call, those within their share could still be
    // placed in the meantime.
    PrefillQueue queue;
    queue.add({"h", 1}, query(1, "a", seconds(1)), 1000, Start);
    queue.add({"h", 2}, query(1, "hot", seconds(2)), 1000, Start + milliseconds(5), true);
    const auto expired = queue.takeExpired(1, Start + seconds(8));
    REQUIRE(expired.size() == 1);
    CHECK(expired[0].ticket.number == 2);
    CHECK(queue.takeExpired(9, Start + seconds(8)).size() == 1);
    CHECK(queue.isEmpty());
}
