#include <monsoongrade/standins/loadhistory.h>

#include <doctest/doctest.h>

using namespace monsoongrade;
using namespace std::chrono_literals;

TEST_CASE("LoadHistory.TellsTheLoadOfThatTime")
{
    const units::TimePoint start{100s};
    standins::LoadHistory history;
    history.add(start, {1, 0, 0, false});
    history.add(start + 1s, {2, 0, 0, false});
    history.add(start + 2s, {3, 0, 0, true});
    CHECK(history.at(start - 1s).running == 1);
    CHECK(history.at(start + 1500ms).running == 2);
    CHECK(history.at(start + 9s).running == 3);
    CHECK(history.at(start + 9s).draining);
}
