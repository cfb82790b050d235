#include <monsoongrade/configuration/storereadperiod.h>

#include <doctest/doctest.h>

#include <initializer_list>

namespace monsoongrade::configuration {

// At 4,900 files the manifest is 368 KB. Read each minute by a daemon that needs nothing of it, it
// was nearly half of what a daemon may spend on control.
TEST_CASE("storeReadPeriod.BytesStayBoundedAsFilesGrow")
{
    constexpr double BytesPerFile = 75;
    for (const std::size_t files :
         {std::size_t(1), std::size_t(440), std::size_t(4900), std::size_t(20000)}) {
        const std::chrono::duration<double> period = storeReadPeriod(files);
        CHECK(static_cast<double>(files) * BytesPerFile / period.count() <= 501);
    }
}

TEST_CASE("storeReadPeriod.FewFilesAreReadEachMinute")
{
    CHECK(storeReadPeriod(0) == std::chrono::seconds(66));
    CHECK(storeReadPeriod(440) == std::chrono::seconds(66));
}

} // namespace monsoongrade::configuration
