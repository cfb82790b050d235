#ifndef MONSOONGRADE_CTL_FLEETCLIENT_H
#define MONSOONGRADE_CTL_FLEETCLIENT_H

#include <monsoongrade/ctl/options.h>
#include <monsoongrade/endpoints/endpointclient.h>
#include <monsoongrade/platform/hostlist.h>
#include <monsoongrade/units/result.h>

#include <string>
#include <vector>

namespace monsoongrade::ctl {

enum class DaemonKind { Router, Scheduler };

// A page of one daemon's operator listener, or why there is none.
struct DaemonPage
{
    platform::Host host;
    DaemonKind daemon = DaemonKind::Router;
    // Empty where the daemon did not answer well.
    std::string body;
    // With its result code.
    std::string fault;
    // The daemon answered, and did not take the operator token.
    bool isTokenRefused = false;

    // "router entry-1"
    std::string name() const;
};

// Asks the operator listeners of entry hosts, all at once: a host that does not answer costs two
// seconds in all, not two seconds for each such host. Blocks.
class FleetClient
{
public:
    FleetClient(const Options &options, endpoints::EndpointClient &client,
                platform::HostList &hosts);

    // Errors: those of the host list.
    units::Result<std::vector<platform::Host>> hosts();
    // The page of every router, or of every router and scheduler, of the hosts in the list or in
    // the options.
    units::Result<std::vector<DaemonPage>> routerPages(const std::string &pathAndQuery);
    units::Result<std::vector<DaemonPage>> allPages(const std::string &pathAndQuery);

private:
    struct Address
    {
        platform::Host host;
        DaemonKind daemon;
    };

    units::Result<std::vector<platform::Host>> givenHosts() const;
    units::Result<std::vector<DaemonPage>> pages(const std::vector<DaemonKind> &daemons,
                                                 const std::string &pathAndQuery);
    endpoints::EndpointRequest requestFor(const Address &address,
                                          const std::string &pathAndQuery) const;

    const Options &options_;
    endpoints::EndpointClient &client_;
    platform::HostList &hosts_;
};

} // namespace monsoongrade::ctl

#endif // MONSOONGRADE_CTL_FLEETCLIENT_H
