#ifndef MONSOONGRADE_DAEMON_STATUSPAGE_H
#define MONSOONGRADE_DAEMON_STATUSPAGE_H

#include <monsoongrade/configuration/configuration.h>
#include <monsoongrade/membership/fleetview.h>
#include <monsoongrade/membership/memberrecord.h>
#include <monsoongrade/requests/decisionlog.h>
#include <monsoongrade/units/clock.h>

#include <string>

namespace monsoongrade::daemon {

// What a daemon tells operators about itself.
struct DaemonStatus
{
    units::DaemonId daemon;
    membership::DaemonRole role = membership::DaemonRole::Router;
    units::FailureDomain failureDomain;
    bool leaving = false;
    // Of a router its open requests, of a scheduler the routers that hold or wait for slots.
    std::size_t open = 0;
    units::Duration upSince{};
    // Time since the configuration in force was taken up.
    units::Duration configurationAge{};
};

// JSON of the status page: the daemon itself, generation in force and its age, the fleet as it
// is seen from here.
std::string statusPage(const DaemonStatus &status,
                       const configuration::Configuration *configuration,
                       const membership::FleetView &fleet);

// JSON of the explain page: each decision about one request, in order.
std::string explainPage(const units::RequestId &request,
                        const std::vector<requests::Decision> &decisions);

} // namespace monsoongrade::daemon

#endif // MONSOONGRADE_DAEMON_STATUSPAGE_H
