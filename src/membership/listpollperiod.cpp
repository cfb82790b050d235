#include <monsoongrade/membership/listpollperiod.h>

#include <algorithm>

namespace monsoongrade::membership {

namespace {

constexpr auto PeriodPerReader = std::chrono::milliseconds(125);
constexpr std::size_t HostsReadAtFullRate = 100;
constexpr auto MinPeriod = std::chrono::seconds(1);
// About 4 KB a second for one reader, at 120 bytes a host.
constexpr auto MinPerHost = std::chrono::milliseconds(30);

} // namespace

units::Duration listPollPeriod(std::size_t readers, std::size_t listedHosts)
{
    const std::size_t hosts = std::max(listedHosts, HostsReadAtFullRate);
    const units::Duration shared
        = units::Duration(PeriodPerReader) * readers * hosts / HostsReadAtFullRate;
    return std::max<units::Duration>({shared, MinPeriod, MinPerHost * listedHosts});
}

} // namespace monsoongrade::membership
