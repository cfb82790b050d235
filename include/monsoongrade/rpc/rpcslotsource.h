#ifndef MONSOONGRADE_RPC_RPCSLOTSOURCE_H
#define MONSOONGRADE_RPC_RPCSLOTSOURCE_H

#include <monsoongrade/membership/fleetholder.h>
#include <monsoongrade/observability/metrics.h>
#include <monsoongrade/rpc/rpcloop.h>
#include <monsoongrade/scheduling/slotsource.h>

#include <cstdint>
#include <memory>

namespace monsoongrade::rpc {

struct RpcSlotSourceSettings
{
    units::ClusterName cluster;
    units::DaemonId self;
    std::uint16_t schedulerPort = 0;
};

// Gets slots from the scheduler that rendezvous hashing names for the pool. When it is lost,
// asks the next one, reports the grants still held there first, and asks again for whoever
// waits.
class RpcSlotSource : public scheduling::SlotSource
{
public:
    RpcSlotSource(RpcLoop &loop, const RpcSlotSourceSettings &settings,
                  membership::FleetHolder &fleet, observability::Metrics &metrics);
    ~RpcSlotSource() override;

    void ask(const scheduling::SlotAsk &ask,
             std::shared_ptr<scheduling::SlotListener> listener) override;
    void cancel(const scheduling::SlotAsk &ask) override;
    void release(const scheduling::SlotGrant &grant,
                 const scheduling::SlotRelease &release) override;

private:
    class Impl;
    RpcLoop &loop_;
    std::shared_ptr<Impl> impl_;
};

} // namespace monsoongrade::rpc

#endif // MONSOONGRADE_RPC_RPCSLOTSOURCE_H
