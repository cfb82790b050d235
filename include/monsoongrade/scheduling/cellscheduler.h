#ifndef MONSOONGRADE_SCHEDULING_CELLSCHEDULER_H
#define MONSOONGRADE_SCHEDULING_CELLSCHEDULER_H

#include <monsoongrade/scheduling/cellpolicy.h>
#include <monsoongrade/scheduling/decisionsink.h>
#include <monsoongrade/scheduling/endpointbook.h>
#include <monsoongrade/scheduling/lengthestimator.h>
#include <monsoongrade/scheduling/slotrelease.h>
#include <monsoongrade/scheduling/waitingqueue.h>
#include <monsoongrade/units/clock.h>

#include <map>

namespace monsoongrade::scheduling {

// Decides who of all routers' callers is answered first on the endpoints of one cell.
// Pure decision code: no socket, thread or clock of its own; not thread-safe. Decisions leave
// through the sink, from within the call that made them possible.
class CellScheduler
{
public:
    CellScheduler(const units::Clock &clock, DecisionSink &sink);

    void configure(const CellPolicy &policy);

    void ask(const SlotAsk &ask);
    // Withdraws an ask that still waits. Returns false if it does not.
    bool cancel(const units::RequestId &request);
    void release(const SlotRelease &release);

    // Counts a grant of an earlier scheduler that a router still holds.
    units::GrantId adopt(const SlotAsk &ask, const units::EndpointId &endpoint);
    // Frees all that a router held and withdraws all that it asked for.
    void routerLost(const units::DaemonId &router);

    void setLeaving(const units::EndpointId &endpoint, bool leaving);
    void setSuspected(const units::EndpointId &endpoint, bool suspected);

    // Refuses those who waited too long. Call it at nextWakeup() or every 50 ms.
    void tick();

    std::size_t waiting() const { return queue_.size(); }
    std::size_t held() const { return grants_.size(); }

private:
    struct HeldGrant
    {
        SlotAsk ask;
        units::EndpointId endpoint;
        double estimate = 0;
    };

    WaitingAsk withPolicy(const SlotAsk &ask) const;
    void grantWhilePossible();
    bool grantNext();
    units::Tier nextTier();
    units::GrantId hold(const SlotAsk &ask, const units::EndpointId &endpoint);
    void refuse(const units::RequestId &request, units::ResultCode code);
    units::Duration retryAfter(const units::RequestId &request) const;
    void forget(std::map<units::GrantId, HeldGrant>::iterator grant);

    const units::Clock &clock_;
    DecisionSink &sink_;
    CellPolicy policy_;
    WaitingQueue queue_;
    EndpointBook endpoints_;
    LengthEstimator lengths_;
    std::map<units::GrantId, HeldGrant> grants_;
    std::map<units::Tier, double> guaranteedCredit_;
    std::uint64_t nextGrant_ = 1;
    double releasesPerSecond_ = 0;
    units::TimePoint lastRelease_{};
};

} // namespace monsoongrade::scheduling

#endif // MONSOONGRADE_SCHEDULING_CELLSCHEDULER_H
