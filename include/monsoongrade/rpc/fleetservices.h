#ifndef MONSOONGRADE_RPC_FLEETSERVICES_H
#define MONSOONGRADE_RPC_FLEETSERVICES_H

#include <monsoongrade/configuration/configurationwatcher.h>
#include <monsoongrade/configuration/daemonsettings.h>
#include <monsoongrade/membership/fleetwatcher.h>
#include <monsoongrade/rpc/peerserver.h>
#include <monsoongrade/rpc/rpcconfigurationpeers.h>

#include <optional>

namespace monsoongrade::rpc {

// What every daemon runs to know the fleet and the configuration: the membership protocol, the
// Peer service, and the watchers of the platform. A router gets a listener of its own; a
// scheduler hands the service out on its own listener.
class FleetServices
{
public:
    FleetServices(RpcLoop &loop, const units::Clock &clock,
                  const configuration::DaemonSettings &settings, membership::DaemonRole role,
                  const units::DaemonId &self, membership::FleetHolder &fleet,
                  configuration::ConfigurationHolder &configuration,
                  observability::Metrics &metrics);

    // Starts to read the platform; call it once all listeners of the holders are in place.
    void start(platform::HostList &hosts, platform::ObjectStore &store);

    membership::Membership &membership() { return membership_; }
    PeerServer &peers() { return server_; }
    PeerClient &client() { return client_; }

private:
    configuration::ConfigurationHolder &configuration_;
    configuration::ConfigurationContents contents_;
    membership::Membership membership_;
    PeerClient client_;
    PeerServer server_;
    RpcConfigurationPeers configurationPeers_;
    std::optional<membership::FleetWatcher> fleetWatcher_;
    std::optional<configuration::ConfigurationWatcher> configurationWatcher_;
};

} // namespace monsoongrade::rpc

#endif // MONSOONGRADE_RPC_FLEETSERVICES_H
