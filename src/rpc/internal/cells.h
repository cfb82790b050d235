#ifndef MONSOONGRADE_SRC_RPC_INTERNAL_CELLS_H
#define MONSOONGRADE_SRC_RPC_INTERNAL_CELLS_H

#include <rpc/internal/cell.h>

#include <monsoongrade/configuration/configurationholder.h>
#include <monsoongrade/membership/fleetholder.h>

#include <memory>
#include <vector>

namespace monsoongrade::rpc::internal {

// All cells of one scheduler. On the RPC loop's thread only.
class Cells
{
public:
    Cells(const units::Clock &clock, observability::Metrics &metrics, units::Duration settlingTime,
          units::Duration unknownPoolWait);

    void apply(const configuration::ConfigurationHolder::Snapshot &configuration,
               const membership::FleetHolder::Snapshot &fleet);

    // Null where the pool is not known.
    Cell *find(const units::PoolName &pool);
    // Waits a moment for a pool that is not known yet, then gives null: a scheduler that has
    // just started reads its configuration while the first asks come in, and would refuse them.
    kj::Promise<Cell *> findOrWait(const units::PoolName &pool);

    void tick();
    void sessionEnded(const units::DaemonId &session);
    // Holds or waits for anything.
    bool isUsing(const units::DaemonId &session) const;
    // Holds or waits where anybody waits for a slot.
    bool isContended(const units::DaemonId &session) const;

    void startLeaving();
    bool isLeaving() const { return leaving_; }
    std::size_t waiting() const;

private:
    struct Awaited
    {
        units::PoolName pool;
        units::TimePoint until;
        kj::Own<kj::PromiseFulfiller<Cell *>> fulfiller;
    };

    void answerAwaited();

    const units::Clock &clock_;
    observability::Metrics &metrics_;
    const units::Duration settlingTime_;
    const units::Duration unknownPoolWait_;
    bool leaving_ = false;
    units::TimePoint metricsWritten_;
    configuration::ConfigurationHolder::Snapshot applied_;
    std::map<units::PoolName, std::unique_ptr<Cell>> cells_;
    std::vector<Awaited> awaited_;
};

} // namespace monsoongrade::rpc::internal

#endif // MONSOONGRADE_SRC_RPC_INTERNAL_CELLS_H
