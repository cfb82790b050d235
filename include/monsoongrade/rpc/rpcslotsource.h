#ifndef MONSOONGRADE_RPC_RPCSLOTSOURCE_H
#define MONSOONGRADE_RPC_RPCSLOTSOURCE_H

#include <monsoongrade/membership/fleetholder.h>
#include <monsoongrade/observability/metrics.h>
#include <monsoongrade/rpc/rpcloop.h>
#include <monsoongrade/scheduling/slotsource.h>
#include <monsoongrade/units/clock.h>

#include <cstdint>
#include <memory>

namespace monsoongrade::rpc {

namespace internal {
class SlotClient;
}

struct RpcSlotSourceSettings
{
    units::ClusterName cluster;
    units::DaemonId self;
    std::uint16_t schedulerPort = 0;
    // A scheduler that owes an answer and said nothing for this long is asked for a sign of
    // life; it must give one within the limit, or the next one is asked.
    units::Duration heartbeat = std::chrono::milliseconds(500);
    units::Duration silenceLimit = std::chrono::milliseconds(1000);
};

// Gets slots from the scheduler that rendezvous hashing names for the pool. When it is lost,
// silent or leaving, asks the next one, reports the grants still held there first, and asks again
// for whoever waits. With none reachable asks are refused as SchedulerUnreachable.
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
    RpcLoop &loop_;
    std::shared_ptr<internal::SlotClient> client_;
};

} // namespace monsoongrade::rpc

#endif // MONSOONGRADE_RPC_RPCSLOTSOURCE_H
