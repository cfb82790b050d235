#ifndef MONSOONGRADE_SRC_RPC_INTERNAL_CELL_H
#define MONSOONGRADE_SRC_RPC_INTERNAL_CELL_H

#include <monsoongrade/configuration/configuration.h>
#include <monsoongrade/membership/fleetview.h>
#include <monsoongrade/observability/metrics.h>
#include <monsoongrade/scheduling/cellscheduler.h>

#include <kj/async.h>

#include <map>
#include <variant>

namespace monsoongrade::rpc::internal {

using SlotOutcome = std::variant<scheduling::SlotGrant, scheduling::SlotRefusal>;

// One CellScheduler together with the RPC calls that wait for its decisions. Used on the RPC
// loop's thread only.
class Cell : private scheduling::DecisionSink
{
public:
    Cell(units::PoolName pool, const units::Clock &clock, observability::Metrics &metrics);

    void configure(const configuration::Configuration &configuration);
    void applyFleet(const configuration::Configuration &configuration,
                    const membership::FleetView &fleet);

    kj::Promise<SlotOutcome> ask(scheduling::SlotAsk ask);
    void cancel(const units::RequestId &request);
    scheduling::CellScheduler &scheduler() { return scheduler_; }
    void tick();

private:
    class Waiter;

    void granted(const scheduling::SlotGrant &grant) override;
    void refused(const scheduling::SlotRefusal &refusal) override;

    units::PoolName pool_;
    observability::Metrics &metrics_;
    scheduling::CellScheduler scheduler_;
    std::map<units::RequestId, Waiter *> waiters_;
};

} // namespace monsoongrade::rpc::internal

#endif // MONSOONGRADE_SRC_RPC_INTERNAL_CELL_H
