#ifndef MONSOONGRADE_SRC_RPC_INTERNAL_ENDPOINTSUSPICION_H
#define MONSOONGRADE_SRC_RPC_INTERNAL_ENDPOINTSUSPICION_H

#include <monsoongrade/units/clock.h>
#include <monsoongrade/units/ids.h>

#include <map>
#include <vector>

namespace monsoongrade::rpc::internal {

// Which endpoints get no grants for a while because calls to them failed. Two failures in a row
// make an endpoint suspected for a second, each further one for twice as long, up to 30 s; a
// completed call clears it. What runs after the time is the probe.
class EndpointSuspicion
{
public:
    // True where the endpoint becomes suspected by this failure.
    bool failed(const units::EndpointId &endpoint, units::TimePoint now);
    void completed(const units::EndpointId &endpoint);
    // The endpoints whose time is over since the last call.
    std::vector<units::EndpointId> takeExpired(units::TimePoint now);
    std::size_t suspected() const { return until_.size(); }

private:
    std::map<units::EndpointId, int> failuresInRow_;
    std::map<units::EndpointId, units::TimePoint> until_;
};

} // namespace monsoongrade::rpc::internal

#endif // MONSOONGRADE_SRC_RPC_INTERNAL_ENDPOINTSUSPICION_H
