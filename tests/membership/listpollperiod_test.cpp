#include <monsoongrade/membership/listpollperiod.h>

#include <doctest/doctest.h>

namespace monsoongrade::membership {

using namespace std::chrono_literals;

// At 390 daemons and 1,105 hosts each read of the list is 133 KB: twice a minute they were more
// than a third of what a daemon may spend on control.
TEST_CASE("ListPollPeriod.BytesOfTheWholeFleetStayBounded")
{
    CHECK(listPollPeriod(12, 18) == 1500ms);
    CHECK(listPollPeriod(64, 100) == 8s);
    CHECK(listPollPeriod(390, 1105) > 500s);
    CHECK(listPollPeriod(390, 1105) < 600s);
}

// A daemon that is cut off from the others has only the list, and reads it as often as it may.
TEST_CASE("ListPollPeriod.OneAloneReadsOften")
{
    CHECK(listPollPeriod(1, 1105) < 35s);
    CHECK(listPollPeriod(1, 18) == 1s);
}

} // namespace monsoongrade::membership
