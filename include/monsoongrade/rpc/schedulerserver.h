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
    // 0 takes any free one.
    std::uint16_t port = 0;
    // From the first router's coming to the first grant, unless all routers came before.
    units::Duration settlingTime = std::chrono::milliseconds(300);
    // A router that is silent for this long loses what it holds. It is asked for a sign of life
    // the answer limit before, and only where others wait for what it holds or the fleet
    // suspects it.
    units::Duration lease = std::chrono::seconds(5);
    // Less than the lease.
    units::Duration answerLimit = std::chrono::seconds(1);
    // Asks for a pool that no configuration names wait for one this long.
    units::Duration unknownPoolWait = std::chrono::seconds(2);
    // Handed out with hello on the same listener; must outlive the server.
    PeerServer *peers = nullptr;
};

// The scheduler's side of the protocol: one CellScheduler per pool, fed by routers over RPC, by
// the configuration and by the fleet view.
class SchedulerServer
{
public:
    // Throws std::runtime_error where the address can't be listened on.
    SchedulerServer(RpcLoop &loop, const units::Clock &clock,
                    const SchedulerServerSettings &settings,
                    configuration::ConfigurationHolder &configuration,
                    membership::FleetHolder &fleet, observability::Metrics &metrics);
    ~SchedulerServer();

    std::uint16_t port() const { return port_; }

    // For a planned stop: answers every ask, waiting or new, as moved, and tells routers by
    // their heartbeat. They report what they hold to the next scheduler and hang up.
    void startLeaving();
    // Routers that hold or wait for a slot here.
    std::size_t routersUsing() const;

private:
    class Impl;
    RpcLoop &loop_;
    std::shared_ptr<Impl> impl_;
    std::uint16_t port_ = 0;
};

} // namespace monsoongrade::rpc

#endif // MONSOONGRADE_RPC_SCHEDULERSERVER_H
