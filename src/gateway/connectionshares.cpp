#include <monsoongrade/gateway/connectionshares.h>

#include <algorithm>

namespace monsoongrade::gateway {

namespace {

// Descriptors for files, log and event queues, or a quarter of them if there are few.
constexpr std::int64_t FileDescriptors = 200;
constexpr std::int64_t MaxFileDivisor = 4;

} // namespace

ConnectionShares divideDescriptors(std::int64_t maxDescriptors)
{
    const std::int64_t files = std::min(FileDescriptors, maxDescriptors / MaxFileDivisor);
    const auto sockets = std::size_t(maxDescriptors - files);
    ConnectionShares shares;
    shares.callers = sockets / 2;
    shares.refusedCallers = std::max<std::size_t>(1, sockets / 32);
    shares.otherHosts = sockets / 6;
    shares.directory = sockets / 16;
    shares.page = std::max<std::size_t>(1, sockets / 64);
    return shares;
}

} // namespace monsoongrade::gateway
