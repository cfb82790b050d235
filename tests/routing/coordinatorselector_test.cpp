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

TEST_CASE("CoordinatorSelector.FrozenHostIsLeftOutForASecond")
{
    // The placing host freezes. Each ask to it would cost its timeout until gossip notices, a
    // second and a half later.
    CoordinatorSelector trust;
    CHECK_FALSE(trust.onAnswerOverdue("a", Start, Start + milliseconds(25)));
    CHECK(trust.selectHost(Order, "own", Start + milliseconds(25)) == "a");
    CHECK(trust.onAnswerOverdue("a", Start + milliseconds(25), Start + milliseconds(50)));
    CHECK(trust.selectHost(Order, "own", Start + milliseconds(60)) == "b");
    CHECK(trust.selectHost(Order, "own", Start + milliseconds(1100)) == "a");
}

TEST_CASE("CoordinatorSelector.ManyOverdueAnswersAtOneMomentAreOneSilence")
{
    // This host was stopped for 30 ms. Ten answers are overdue when it goes on, and lie unread in
    // its socket: the placing host is well.
    CoordinatorSelector trust;
    for (int i = 0; i < 10; ++i)
        CHECK_FALSE(trust.onAnswerOverdue("a", Start + milliseconds(i), Start + milliseconds(35)));
    trust.onAnswer("a");
    CHECK_FALSE(trust.onAnswerOverdue("a", Start + milliseconds(40), Start + milliseconds(65)));
}

TEST_CASE("CoordinatorSelector.HostThatIsNextItselfAsksNobody")
{
    CoordinatorSelector trust;
    trust.onAnswerOverdue("a", Start, Start + milliseconds(50));
    trust.onAnswerOverdue("b", Start, Start + milliseconds(50));
    CHECK(trust.selectHost(Order, "own", Start + milliseconds(60)).empty());
    CHECK(trust.selectHost({}, "own", Start).empty());
}
