#ifndef MONSOONGRADE_SRC_RPC_INTERNAL_CELL_H
#define MONSOONGRADE_SRC_RPC_INTERNAL_CELL_H

#include <rpc/internal/sessionuses.h>

#include <monsoongrade/configuration/configuration.h>
#include <monsoongrade/membership/fleetview.h>
#include <monsoongrade/observability/metrics.h>
#include <monsoongrade/scheduling/cellscheduler.h>

#include <kj/async.h>

#include <map>
#include <set>
#include <variant>

namespace monsoongrade::rpc::internal {

// The ask is not decided here any more; the router asks the next scheduler.
struct Moved
{
};

using SlotOutcome = std::variant<scheduling::SlotGrant, scheduling::SlotRefusal, Moved>;

// One CellScheduler together with the RPC calls that wait for its decisions. Used on the RPC
// loop's thread only. Routers are told apart by session, one for each connection: a router that
// connects again must not lose what it holds through the end of its old connection.
//
// The cell opens a settling time after the first router came, or once as many have come as the
// fleet has. A scheduler that takes over knows nothing of the grants in flight; opened at once,
// it would hand the slots of all routers but the first out a second time.
class Cell : private scheduling::DecisionSink
{
public:
    Cell(units::PoolName pool, const units::Clock &clock, observability::Metrics &metrics,
         units::Duration settlingTime);

    void configure(const configuration::Configuration &configuration);
    void applyFleet(const configuration::Configuration &configuration,
                    const membership::FleetView &fleet);

    // The session's router asks here from now on, after its grants were adopted.
    void attach(const units::DaemonId &session);
    void detach(const units::DaemonId &session);
    // Frees all that the session holds and withdraws what it asked.
    void sessionEnded(const units::DaemonId &session);

    kj::Promise<SlotOutcome> ask(scheduling::SlotAsk ask);
    void cancel(const units::DaemonId &session, const units::RequestId &request);
    // Ignored where the session does not hold the grant.
    void release(const units::DaemonId &session, const scheduling::SlotRelease &release);
    units::GrantId adopt(const scheduling::SlotAsk &ask, const units::EndpointId &endpoint);

    // Answers all that wait as moved; for a scheduler that stops.
    void moveAll();
    void tick();
    void writeMetrics();

    bool isOpen() const { return state_ == State::Open; }
    std::size_t waiting() const { return waiters_.size(); }
    // Holds or waits for a slot.
    bool isUsedBy(const units::DaemonId &session) const { return uses_.has(session); }

private:
    class Waiter;
    enum class State { Closed, Settling, Open };

    void granted(const scheduling::SlotGrant &grant) override;
    void refused(const scheduling::SlotRefusal &refusal) override;
    void openIfSettled();
    void hold(units::GrantId grant, const units::DaemonId &session);

    units::PoolName pool_;
    const units::Clock &clock_;
    observability::Metrics &metrics_;
    const units::Duration settlingTime_;
    scheduling::CellScheduler scheduler_;
    std::size_t routerCount_ = 0;
    State state_ = State::Closed;
    units::TimePoint opensAt_;
    std::set<units::DaemonId> attached_;
    // By grant: the session that holds it.
    std::map<units::GrantId, units::DaemonId> held_;
    SessionUses uses_;
    std::map<units::RequestId, Waiter *> waiters_;
};

} // namespace monsoongrade::rpc::internal

#endif // MONSOONGRADE_SRC_RPC_INTERNAL_CELL_H
