#include <monsoongrade/observability/logbudget.h>

#include <doctest/doctest.h>

using namespace monsoongrade;
using namespace monsoongrade::observability;

// Guards against a fleet whose start writes a line on each host for each other host.
TEST_CASE("LogBudget.WritesSoManyLinesASecondAndCountsTheOthers")
{
    LogBudget budget(3);
    units::TimePoint now(std::chrono::hours(1));
    int written = 0;
    for (int line = 0; line < 100; ++line)
        written += budget.allows(now) ? 1 : 0;
    CHECK(written == 3);
    CHECK(budget.takeLeftOut() == 97);
    CHECK(budget.takeLeftOut() == 0);
    now += std::chrono::seconds(1);
    CHECK(budget.allows(now));
}
