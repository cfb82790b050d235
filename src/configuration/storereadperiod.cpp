#include <monsoongrade/configuration/storereadperiod.h>

#include <algorithm>

namespace monsoongrade::configuration {

namespace {

constexpr auto MinPeriod = std::chrono::seconds(66);
// About half a KB a second, at 75 bytes a file.
constexpr auto PeriodPerFile = std::chrono::milliseconds(150);

} // namespace

units::Duration storeReadPeriod(std::size_t files)
{
    const units::Duration bounded = PeriodPerFile * files;
    return std::max<units::Duration>(MinPeriod, bounded);
}

} // namespace monsoongrade::configuration
