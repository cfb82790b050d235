#ifndef MONSOONGRADE_SRC_RPC_INTERNAL_SCHEDULERLINKS_H
#define MONSOONGRADE_SRC_RPC_INTERNAL_SCHEDULERLINKS_H

#include <rpc/internal/schedulerlink.h>

#include <monsoongrade/observability/metrics.h>
#include <monsoongrade/units/ids.h>

#include <kj/async.h>

#include <functional>
#include <map>
#include <vector>

namespace monsoongrade::rpc::internal {

// A router's connections to schedulers: opens them, watches over them with a heartbeat, and
// passes over schedulers that failed. On the RPC loop's thread only.
class SchedulerLinks
{
public:
    // gone is called when a link is lost or its scheduler leaves; pools must move elsewhere.
    SchedulerLinks(RpcLoop &loop, const RpcSlotSourceSettings &settings,
                   observability::Metrics &metrics, kj::TaskSet &tasks,
                   std::function<void(const LinkPointer &)> gone);

    // True where they differ from those before.
    bool setMembers(std::vector<membership::Member> members);
    bool hasMembers() const { return !members_.empty(); }

    // The link to the first scheduler in rendezvous order that is not passed over; null if none.
    // While the current one serves, only one that has answered replaces it: a pool that moved to
    // a host that is listed but not up would have to come back.
    LinkPointer choose(const units::PoolName &pool, const LinkPointer &current);

    void heard(const LinkPointer &link);
    // A call failed or the connection broke. A scheduler that answered before is tried again at
    // once, since it may only have ended the session or been restarted; any other is passed over.
    void lost(const LinkPointer &link);
    void leaving(const LinkPointer &link);
    // Ends the connection; the scheduler frees what the router holds there.
    void close(const LinkPointer &link);

    // Asks schedulers that are late with an answer for a sign of life, and gives up those that
    // give none.
    void heartbeat();
    // The same now for schedulers that the fleet suspects and where slots are held.
    void askSuspected(const std::vector<membership::Member> &members);
    std::vector<LinkPointer> links() const;

private:
    struct Avoided
    {
        units::TimePoint until;
        int failures = 0;
    };

    const std::vector<membership::Member> &order(const units::PoolName &pool);
    bool isPassedOver(const membership::Member &member);
    LinkPointer linkTo(const membership::Member &member);
    LinkPointer open(const membership::Member &member);
    void askForSign(const LinkPointer &link);
    void ping(const LinkPointer &link);
    void avoid(const units::HostName &host);

    RpcLoop &loop_;
    const RpcSlotSourceSettings settings_;
    observability::Metrics &metrics_;
    std::function<void(const LinkPointer &)> gone_;
    std::vector<membership::Member> members_;
    std::map<units::PoolName, std::vector<membership::Member>> orders_;
    std::map<units::HostName, LinkPointer> links_;
    std::map<units::HostName, Avoided> avoided_;
    units::TimePoint lastHeartbeat_;
    kj::TaskSet &tasks_;
};

} // namespace monsoongrade::rpc::internal

#endif // MONSOONGRADE_SRC_RPC_INTERNAL_SCHEDULERLINKS_H
