#ifndef MONSOONGRADE_REQUESTS_ENDPOINTDIRECTORY_H
#define MONSOONGRADE_REQUESTS_ENDPOINTDIRECTORY_H

#include <monsoongrade/configuration/configuration.h>

#include <optional>

namespace monsoongrade::requests {

// The endpoints that this router may send work to at this moment. Thread-safe.
class EndpointDirectory
{
public:
    virtual ~EndpointDirectory() = default;
    // Nothing where the pool has no such endpoint now, or the endpoint is drained or leaving.
    virtual std::optional<configuration::EndpointConfig>
    find(const units::PoolName &pool, const units::EndpointId &endpoint) const = 0;
};

} // namespace monsoongrade::requests

#endif // MONSOONGRADE_REQUESTS_ENDPOINTDIRECTORY_H
