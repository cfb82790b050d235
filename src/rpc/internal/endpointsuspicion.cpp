#include <rpc/internal/endpointsuspicion.h>

#include <algorithm>

namespace monsoongrade::rpc::internal {

namespace {

constexpr int FailuresToSuspect = 2;
constexpr int MostDoublings = 5;
constexpr units::Duration FirstTime = std::chrono::seconds(1);
constexpr units::Duration LongestTime = std::chrono::seconds(30);

} // namespace

bool EndpointSuspicion::failed(const units::EndpointId &endpoint, units::TimePoint now)
{
    const int failures = ++failuresInRow_[endpoint];
    if (failures < FailuresToSuspect || until_.count(endpoint) > 0)
        return false;
    const int doublings = std::min(failures - FailuresToSuspect, MostDoublings);
    until_[endpoint] = now + std::min(LongestTime, FirstTime * (1 << doublings));
    return true;
}

void EndpointSuspicion::completed(const units::EndpointId &endpoint)
{
    failuresInRow_.erase(endpoint);
}

std::vector<units::EndpointId> EndpointSuspicion::takeExpired(units::TimePoint now)
{
    std::vector<units::EndpointId> expired;
    for (auto entry = until_.begin(); entry != until_.end();) {
        if (entry->second > now) {
            ++entry;
            continue;
        }
        expired.push_back(entry->first);
        entry = until_.erase(entry);
    }
    return expired;
}

} // namespace monsoongrade::rpc::internal
