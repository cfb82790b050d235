#include <monsoongrade/daemon/liveendpoints.h>

namespace monsoongrade::daemon {

LiveEndpoints::LiveEndpoints(const configuration::ConfigurationHolder &configuration,
                             const membership::FleetHolder &fleet)
    : configuration_(configuration)
    , fleet_(fleet)
{
}

std::optional<configuration::EndpointConfig>
LiveEndpoints::find(const units::PoolName &pool, const units::EndpointId &endpoint) const
{
    const auto configuration = configuration_.current();
    if (!configuration)
        return std::nullopt;
    const configuration::EndpointConfig *found = configuration->findEndpoint(pool, endpoint);
    if (found == nullptr || configuration->isDrained(*found))
        return std::nullopt;
    if (fleet_.current()->leavingEndpointHosts.count(found->host) > 0)
        return std::nullopt;
    return *found;
}

} // namespace monsoongrade::daemon
