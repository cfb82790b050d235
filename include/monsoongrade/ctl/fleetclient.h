#ifndef MONSOONGRADE_CTL_FLEETCLIENT_H
#define MONSOONGRADE_CTL_FLEETCLIENT_H

#include <monsoongrade/ctl/options.h>
#include <monsoongrade/endpoints/endpointclient.h>
#include <monsoongrade/platform/hostlist.h>
#include <monsoongrade/units/result.h>

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <vector>

namespace monsoongrade::ctl {

// A page of one host's operator listener, or why there is none.
struct HostPage
{
    platform::Host host;
    // Empty where the host did not answer.
    std::string body;
    std::string fault;
    // The host answered, and did not take the operator token.
    bool isTokenRefused = false;
};

// Asks the operator listeners of all entry hosts. Blocks.
class FleetClient
{
public:
    FleetClient(const Options &options, endpoints::EndpointClient &client,
                platform::HostList &hosts);

    // Errors: those of the host list.
    units::Result<std::vector<platform::Host>> entryHosts();
    HostPage page(const platform::Host &host, const std::string &pathAndQuery);
    // The page of every entry host of the list.
    units::Result<std::vector<HostPage>> pages(const std::string &pathAndQuery);

private:
    const Options &options_;
    endpoints::EndpointClient &client_;
    platform::HostList &hosts_;
};

} // namespace monsoongrade::ctl

#endif // MONSOONGRADE_CTL_FLEETCLIENT_H
