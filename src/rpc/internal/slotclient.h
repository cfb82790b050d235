#ifndef MONSOONGRADE_SRC_RPC_INTERNAL_SLOTCLIENT_H
#define MONSOONGRADE_SRC_RPC_INTERNAL_SLOTCLIENT_H

#include <rpc/internal/heldslots.h>
#include <rpc/internal/schedulerlinks.h>

#include <monsoongrade/membership/fleetholder.h>
#include <monsoongrade/scheduling/slotsource.h>

namespace monsoongrade::rpc::internal {

// What RpcSlotSource does on the RPC loop's thread.
//
// Each pool asks one scheduler at a time. When that one is lost, leaves, or is no longer the
// first by rendezvous order, the pool moves: the next scheduler first gets the report of what is
// held, then every ask that waits, with the time it waited. A decision of a scheduler that the
// ask moved away from is not used: its grant is given back there.
class SlotClient : private kj::TaskSet::ErrorHandler
{
public:
    SlotClient(RpcLoop &loop, const RpcSlotSourceSettings &settings, membership::FleetHolder &fleet,
               observability::Metrics &metrics);
    ~SlotClient();

    void ask(const scheduling::SlotAsk &ask, std::shared_ptr<scheduling::SlotListener> listener);
    void cancel(const scheduling::SlotAsk &ask);
    void release(const units::RequestId &request, const scheduling::SlotRelease &release);
    void fleetChanged();

private:
    struct Waiting
    {
        scheduling::SlotAsk ask;
        std::shared_ptr<scheduling::SlotListener> listener;
        units::TimePoint since;
        // Where it waits; null while no scheduler is known.
        LinkPointer link;
        // Numbers this ask's calls, so that the answer to an earlier one is known as such.
        std::uint64_t attempt = 0;
        int attempts = 0;
        // Attempts in a row at schedulers that never answered anything.
        int unanswered = 0;
    };
    struct Pool
    {
        LinkPointer link;
        std::map<units::RequestId, Waiting> waiting;
    };

    void send(const units::PoolName &name, const units::RequestId &request);
    void decided(const units::PoolName &name, const units::RequestId &request,
                 std::uint64_t attempt, const LinkPointer &link,
                 schema::SlotDecision::Reader decision);
    Waiting *findWaiting(const units::PoolName &name, const units::RequestId &request);
    void refuse(const units::PoolName &name, const units::RequestId &request,
                units::ResultCode code, units::Duration retryAfter);
    void withdraw(const units::PoolName &name, const units::RequestId &request,
                  const LinkPointer &link);
    // Chooses the pool's scheduler anew and moves what waits where it is another one.
    void assign(const units::PoolName &name);
    void moveFrom(const units::PoolName &name, const LinkPointer &old);
    void reported(const units::PoolName &name, const LinkPointer &old);
    void gone(const LinkPointer &link);
    void tick();
    void taskFailed(kj::Exception &&exception) override;

    RpcLoop &loop_;
    // Emptied first by the destructor, so that no callback runs while the rest is destroyed.
    kj::Own<kj::TaskSet> tasks_;
    const RpcSlotSourceSettings settings_;
    membership::FleetHolder &fleet_;
    observability::Metrics &metrics_;
    std::map<units::PoolName, Pool> pools_;
    std::uint64_t nextAttempt_ = 1;
    SchedulerLinks links_;
    HeldSlots held_;
};

} // namespace monsoongrade::rpc::internal

#endif // MONSOONGRADE_SRC_RPC_INTERNAL_SLOTCLIENT_H
