#include <monsoongrade/configuration/configuration.h>

namespace monsoongrade::configuration {

bool Configuration::isDrained(const EndpointConfig &endpoint) const
{
    return drained.count(endpoint.id.value()) > 0 || drained.count(endpoint.host.value()) > 0;
}

const EndpointConfig *Configuration::findEndpoint(const units::PoolName &pool,
                                                  const units::EndpointId &id) const
{
    const auto found = pools.find(pool);
    if (found == pools.end())
        return nullptr;
    for (const EndpointConfig &endpoint : found->second.endpoints) {
        if (endpoint.id == id)
            return &endpoint;
    }
    return nullptr;
}

scheduling::CellPolicy Configuration::cellPolicy(const units::PoolName &pool) const
{
    scheduling::CellPolicy policy;
    for (const auto &[name, config] : classes)
        policy.classes.emplace(name, config.policy);
    for (const auto &[name, config] : workspaces)
        policy.workspaceWeights.emplace(name, config.weight);
    policy.queueLimit = queueLimit;
    policy.guaranteedShare = guaranteedShare;
    const auto found = pools.find(pool);
    if (found == pools.end())
        return policy;
    for (const EndpointConfig &endpoint : found->second.endpoints)
        policy.endpoints.push_back({endpoint.id, endpoint.slots});
    return policy;
}

} // namespace monsoongrade::configuration
