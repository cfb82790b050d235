#ifndef MONSOONGRADE_DAEMON_LIVEENDPOINTS_H
#define MONSOONGRADE_DAEMON_LIVEENDPOINTS_H

#include <monsoongrade/configuration/configurationholder.h>
#include <monsoongrade/membership/fleetholder.h>
#include <monsoongrade/requests/endpointdirectory.h>

namespace monsoongrade::daemon {

// The endpoints of the configuration in force that neither an operator has drained nor the fleet
// knows as leaving. A scheduler that is cut off from the news goes on granting slots on an
// endpoint which it still takes for live; without this look at what the router itself knows, such
// an endpoint would get new work until the cut ends.
class LiveEndpoints : public requests::EndpointDirectory
{
public:
    // Both must outlive this object.
    LiveEndpoints(const configuration::ConfigurationHolder &configuration,
                  const membership::FleetHolder &fleet);

    std::optional<configuration::EndpointConfig>
    find(const units::PoolName &pool, const units::EndpointId &endpoint) const override;

private:
    const configuration::ConfigurationHolder &configuration_;
    const membership::FleetHolder &fleet_;
};

} // namespace monsoongrade::daemon

#endif // MONSOONGRADE_DAEMON_LIVEENDPOINTS_H
