#include <monsoongrade/routing/queueing/prefillqueue.h>

#include <doctest/doctest.h>

using namespace monsoongrade;
using namespace monsoongrade::routing;
using namespace monsoongrade::routing::queueing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr units::TimePoint Start = units::TimePoint(std::chrono::hours(1));
constexpr std::size_t NoLimit = 100;

PlacementQuery query(std::uint32_t tier, units::Duration targetIn, const std::string &part = "p")
{
    PlacementQuery result;
    result.tier = units::Tier(tier);
    result.sharedPart = part;
    result.promptTokens = 15000; // 100 ms to prefill
    result.targetIn = targetIn;
    result.expiresIn = seconds(8);
    return result;
}

std::vector<std::uint64_t> numbers(PrefillQueue &queue, units::TimePoint now,
                                   std::size_t maxCount = NoLimit)
{
    std::vector<std::uint64_t> result;
    for (const PlacementTicket &ticket : queue.next(maxCount, now))
        result.push_back(ticket.number);
    return result;
}

} // namespace

TEST_CASE("PrefillQueue.OrdersByTierThenDueTime")
{
    PrefillQueue queue;
    queue.add({"h", 1}, query(2, milliseconds(300)), 1000, Start);
    queue.add({"h", 2}, query(1, milliseconds(900)), 1000, Start);
    queue.add({"h", 3}, query(2, milliseconds(200)), 1000, Start);
    CHECK(numbers(queue, Start) == std::vector<std::uint64_t>{2, 3, 1});
    CHECK(numbers(queue, Start, 1) == std::vector<std::uint64_t>{2});
}

TEST_CASE("PrefillQueue.LateRequestsGoBehindOnTimeOnesOfTheirTier")
{
    // In a burst more arrives than can be prefilled. Served in order of arrival, all would be late
    // by the same time. Late requests go last within their tier, but stay in the queue.
    PrefillQueue queue;
    queue.add({"h", 1}, query(2, milliseconds(300)), 1000, Start);
    queue.add({"h", 2}, query(2, milliseconds(900)), 1000, Start);
    const units::TimePoint later = Start + milliseconds(250);
    CHECK(numbers(queue, later) == std::vector<std::uint64_t>{2, 1});
    queue.add({"h", 3}, query(3, milliseconds(900)), 1000, later);
    CHECK(numbers(queue, later) == std::vector<std::uint64_t>{2, 1, 3});
}

TEST_CASE("PrefillQueue.PromptSizeDoesNotAffectOrder")
{
    // A prompt of 54,000 tokens takes 0.8 s to prefill. If it counted as late that much sooner, it
    // would stay behind all short ones of its tier until its client leaves.
    PrefillQueue queue;
    PlacementQuery longPrompt = query(2, milliseconds(900));
    longPrompt.promptTokens = 54000;
    queue.add({"h", 1}, longPrompt, 54000, Start);
    queue.add({"h", 2}, query(2, milliseconds(1000)), 1000, Start);
    CHECK(numbers(queue, Start + milliseconds(600)) == std::vector<std::uint64_t>{1, 2});
}

TEST_CASE("PrefillQueue.RemovesExpiredAndWithdrawnRequests")
{
    // The prefill of a request that starts in the last second before its client leaves is wasted.
    // Expired requests are returned, so that their clients get a response.
    PrefillQueue queue;
    queue.add({"h", 1}, query(1, seconds(1)), 1000, Start);
    queue.add({"h", 2}, query(1, seconds(1)), 1000, Start);
    queue.remove({"h", 1});
    CHECK(queue.withSharedPart("p").size() == 1);
    CHECK(queue.takeExpired(9, Start + milliseconds(6900)).empty());
    const auto expired = queue.takeExpired(9, Start + seconds(7));
    REQUIRE(expired.size() == 1);
    CHECK(expired[0].ticket.number == 2);
    CHECK(numbers(queue, Start + seconds(7)).empty());
    CHECK(queue.isEmpty());
    CHECK(queue.withSharedPart("p").empty());
    CHECK(queue.tokensAhead(units::Tier(9)).onTime == 0);
    CHECK(queue.tokensAhead(units::Tier(9)).late == 0);
}

TEST_CASE("PrefillQueue.CountsTokensAheadByTierAndLateness")
{
    PrefillQueue queue;
    queue.add({"h", 1}, query(1, seconds(1), "a"), 5000, Start);
    queue.add({"h", 2}, query(2, milliseconds(50), "b"), 7000, Start);
    queue.add({"h", 3}, query(2, seconds(1), "a"), 5000, Start); // only its own tokens count
    CHECK(queue.tokensAhead(units::Tier(0)).onTime == 0);
    CHECK(queue.tokensAhead(units::Tier(1)).onTime == 5000);
    const std::int64_t own = query(2, seconds(1)).ownTokens;
    CHECK(queue.tokensAhead(units::Tier(2)).onTime == 12000 + own);
    queue.next(9, Start + milliseconds(60));
    CHECK(queue.tokensAhead(units::Tier(2)).late == 7000);
    CHECK(queue.tokensAhead(units::Tier(2)).onTime == 5000 + own);
}

TEST_CASE("PrefillQueue.FindsRequestsWithSameSharedPart")
{
    PrefillQueue queue;
    queue.add({"h", 1}, query(1, seconds(1), "a"), 1000, Start);
    queue.add({"h", 2}, query(1, seconds(1), "b"), 1000, Start);
    queue.add({"g", 2}, query(1, seconds(1), "a"), 1000, Start);
    CHECK(queue.withSharedPart("a").size() == 2);
    CHECK(queue.find({"g", 2}) != nullptr);
    CHECK(queue.find({"g", 1}) == nullptr);
}
