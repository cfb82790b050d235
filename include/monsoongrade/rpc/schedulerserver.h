#ifndef MONSOONGRADE_RPC_SCHEDULERSERVER_H
#define MONSOONGRADE_RPC_SCHEDULERSERVER_H

#include <monsoongrade/configuration/configurationholder.h>
#include <monsoongrade/membership/fleetholder.h>
#include <monsoongrade/observability/metrics.h>
#include <monsoongrade/rpc/rpcloop.h>
#include <monsoongrade/units/clock.h>

#include <cstdint>
#include <memory>
#include <string>

namespace monsoongrade::rpc {

class PeerServer;

struct SchedulerServerSettings
{
    units::ClusterName cluster;
    units::DaemonId self;
    std::string address;
    std::uint16_t port = 0;
    // Handed out with hello on the same listener; must outlive the server.
    PeerServer *peers = nullptr;
};

// The scheduler's side of the protocol: one CellScheduler per pool, fed by routers over RPC, by
// the configuration and by the fleet view.
class SchedulerServer
{
public:
    SchedulerServer(RpcLoop &loop, const units::Clock &clock,
                    const SchedulerServerSettings &settings,
                    configuration::ConfigurationHolder &configuration,
                    membership::FleetHolder &fleet, observability::Metrics &metrics);
    ~SchedulerServer();

private:
    class Impl;
    RpcLoop &loop_;
    std::shared_ptr<Impl> impl_;
};

} // namespace monsoongrade::rpc

#endif // MONSOONGRADE_RPC_SCHEDULERSERVER_H
