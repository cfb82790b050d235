#include <monsoongrade/routing/coordinatorselector.h>

#include <doctest/doctest.h>

using namespace monsoongrade;
using namespace monsoongrade::routing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr units::TimePoint Start = units::TimePoint(std::chrono::hours(1));
const std::vector<std::string> Order{"a", "b", "own", "c"};

} // namespace

TEST_CASE("CoordinatorSelector.FrozenHostIsSkippedForOneSecond")
{
    // The coordinator freezes. Each query to it would cost a timeout until gossip detects the
    // failure, a second and a half later.
    CoordinatorSelector selector;
    CHECK_FALSE(selector.onAnswerOverdue("a", Start, Start + milliseconds(25)));
    CHECK(selector.selectHost(Order, "own", Start + milliseconds(25)) == "a");
    CHECK(selector.onAnswerOverdue("a", Start + milliseconds(25), Start + milliseconds(50)));
    CHECK(selector.selectHost(Order, "own", Start + milliseconds(60)) == "b");
    CHECK(selector.selectHost(Order, "own", Start + milliseconds(1100)) == "a");
}

TEST_CASE("CoordinatorSelector.SimultaneousTimeoutsCountOnce")
{
    // This host was throttled for 30 ms. When it resumes, ten answers are overdue but wait unread
    // in its socket: the coordinator is healthy.
    CoordinatorSelector selector;
    for (int i = 0; i < 10; ++i)
        CHECK_FALSE(
            selector.onAnswerOverdue("a", Start + milliseconds(i), Start + milliseconds(35)));
    selector.onAnswer("a");
    CHECK_FALSE(selector.onAnswerOverdue("a", Start + milliseconds(40), Start + milliseconds(65)));
}

TEST_CASE("CoordinatorSelector.SelectsNoHostWhenOwnHostIsNext")
{
    CoordinatorSelector selector;
    selector.onAnswerOverdue("a", Start, Start + milliseconds(50));
    selector.onAnswerOverdue("b", Start, Start + milliseconds(50));
    CHECK(selector.selectHost(Order, "own", Start + milliseconds(60)).empty());
    CHECK(selector.selectHost({}, "own", Start).empty());
}
