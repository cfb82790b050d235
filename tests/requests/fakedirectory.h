#ifndef MONSOONGRADE_TESTS_REQUESTS_FAKEDIRECTORY_H
#define MONSOONGRADE_TESTS_REQUESTS_FAKEDIRECTORY_H

#include <monsoongrade/requests/endpointdirectory.h>

#include <set>
#include <string>

namespace monsoongrade::requests {

// Endpoints in service, whatever their pool; the test adds and removes them.
class FakeDirectory : public EndpointDirectory
{
public:
    explicit FakeDirectory(std::set<std::string> inService)
        : inService(std::move(inService))
    {
    }

    std::optional<configuration::EndpointConfig>
    find(const units::PoolName &, const units::EndpointId &endpoint) const override
    {
        if (inService.count(endpoint.value()) == 0)
            return std::nullopt;
        configuration::EndpointConfig found;
        found.id = endpoint;
        found.address = "127.0.0.1";
        return found;
    }

    std::set<std::string> inService;
};

} // namespace monsoongrade::requests

#endif // MONSOONGRADE_TESTS_REQUESTS_FAKEDIRECTORY_H
