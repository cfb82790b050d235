#ifndef MONSOONGRADE_SCHEDULING_CELLSCHEDULER_H
#define MONSOONGRADE_SCHEDULING_CELLSCHEDULER_H

#include <monsoongrade/scheduling/answertimes.h>
#include <monsoongrade/scheduling/cellpolicy.h>
#include <monsoongrade/scheduling/decisionsink.h>
#include <monsoongrade/scheduling/drainrate.h>
#include <monsoongrade/scheduling/endpointbook.h>
#include <monsoongrade/scheduling/guaranteedshare.h>
#include <monsoongrade/scheduling/lengthestimator.h>
#include <monsoongrade/scheduling/retryplanner.h>
#include <monsoongrade/scheduling/slotpolicy.h>
#include <monsoongrade/scheduling/waitingqueue.h>
#include <monsoongrade/units/clock.h>

#include <map>
#include <memory>
#include <set>

namespace monsoongrade::scheduling {

// Decides who of all routers' callers is answered first on the endpoints of one cell.
// Pure decision code: no socket, thread or clock of its own; not thread-safe. Decisions leave
// through the sink, from within the call that made them possible; each ask gets exactly one,
// unless it is cancelled.
//
// What holds: a full queue sheds no ask while one of a lower tier holds more than its reserved
// places. A lower tier is granted a slot before a waiting higher one only as a guaranteed grant
// (see GuaranteedShare), and the ask that was passed over gets its tier's next slot and a whole
// new waiting limit, so the grant is never the reason that it is refused. Lower tiers alone don't
// take the last slots while none is expected to come free within the highest tier's target.
class CellScheduler : public SlotPolicy
{
public:
    CellScheduler(const units::Clock &clock, DecisionSink &sink);
    // With another way to guess lengths.
    CellScheduler(const units::Clock &clock, DecisionSink &sink,
                  std::unique_ptr<LengthEstimator> lengths);

    void configure(const CellPolicy &policy) override;

    // An ask that repeats one that still waits is ignored; the one decision answers both.
    void ask(const SlotAsk &ask) override;
    bool cancel(const units::RequestId &request) override;
    void release(const SlotRelease &release) override;

    // Grants nothing before the given time. A scheduler that takes over must first hear all
    // routers: while their asks come in one by one, free slots would go to whoever is told
    // first, and a long answer of the lowest tier could take the place of a voucher's.
    void settleUntil(units::TimePoint time) { opensAt_ = time; }

    // Counts a grant of an earlier scheduler that a router still holds. Told twice, or of a grant
    // made here, it counts once and has the same number. May take an endpoint above its limit: the
    // request runs.
    units::GrantId adopt(const SlotAsk &ask, const units::EndpointId &endpoint);
    // Frees all that a router held and refuses all that it asked for as left by the caller.
    void routerLost(const units::DaemonId &router);

    void setLeaving(const units::EndpointId &endpoint, bool leaving) override;
    void setSuspected(const units::EndpointId &endpoint, bool suspected) override;

    // Refuses those who waited too long, finds silent endpoints and probes them. Call it every
    // 50 ms.
    void tick() override;

    std::size_t waiting() const override { return queue_.size(); }
    std::size_t held() const override { return grants_.size(); }
    int limitOf(const units::EndpointId &endpoint) const { return endpoints_.limitOf(endpoint); }

private:
    struct HeldGrant
    {
        SlotAsk ask;
        units::EndpointId endpoint;
        double estimate = 0;
        units::TimePoint expectedEnd;
        // Not kept for the first answers of a class, which are granted on a guess from other
        // classes: corrected, a tier whose answers turn out ten times as long would pay for its
        // first seconds by a minute without a grant.
        std::optional<GuaranteedShare::Booking> booking;
    };
    using Grants = std::map<units::GrantId, HeldGrant>;

    units::Duration answerTime(const SlotAsk &ask);
    bool isHopeless(const WaitingAsk &waiting) const;
    void grantWhilePossible();
    bool mustKeepSlots() const;
    bool grantNext(std::vector<WaitingAsk> &setAside);
    std::vector<GuaranteedShare::Backlogged> backloggedTiers() const;
    units::Tier nextTier(const std::vector<GuaranteedShare::Backlogged> &backlogged) const;
    units::GrantId hold(const SlotAsk &ask, const units::EndpointId &endpoint);
    void expire();
    void shed(units::Tier arrived);
    void refuseAllWithoutFuture();
    void refuse(const WaitingAsk &ask, units::ResultCode code);
    double drainPerSecond() const;
    void forget(Grants::iterator grant);

    const units::Clock &clock_;
    DecisionSink &sink_;
    CellPolicy policy_;
    units::Tier highestTier_;
    std::optional<units::Duration> highestTierTarget_;
    WaitingQueue queue_;
    EndpointBook endpoints_;
    std::unique_ptr<LengthEstimator> lengths_;
    AnswerTimes answerTimes_;
    GuaranteedShare guaranteed_;
    DrainRate drain_;
    RetryPlanner retries_;
    Grants grants_;
    std::map<std::pair<units::DaemonId, units::RequestId>, units::GrantId> byRequest_;
    std::map<units::ClassName, units::TimePoint> lastBegun_;
    // Of the grants held.
    std::multiset<units::TimePoint> expectedEnds_;
    std::uint64_t nextGrant_ = 1;
    units::TimePoint opensAt_{};
};

} // namespace monsoongrade::scheduling

#endif // MONSOONGRADE_SCHEDULING_CELLSCHEDULER_H
