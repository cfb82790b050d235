#ifndef MONSOONGRADE_SCALING_POOLAUTOSCALER_H
#define MONSOONGRADE_SCALING_POOLAUTOSCALER_H

#include <monsoongrade/duties/duty.h>
#include <monsoongrade/duties/dutyplatform.h>
#include <monsoongrade/observability/metrics.h>
#include <monsoongrade/scaling/baselinestore.h>
#include <monsoongrade/scaling/scaledpool.h>
#include <monsoongrade/scaling/sizingpolicy.h>

#include <map>
#include <memory>
#include <optional>

namespace monsoongrade::scaling {

// The duty of ordering endpoints: compares what each pool has with what the policy wants and orders
// the difference, more at once and fewer only after a while. Remembers nothing that a new holder
// would need: what is there stands in the platform's store.
class PoolAutoscaler : public duties::Duty
{
public:
    PoolAutoscaler(const ScaledPools &pools, const SizingPolicy &policy, BaselineStore &baselines,
                   duties::DutyPlatform &platform, observability::Metrics &metrics,
                   const units::Clock &clock);

    void act(duties::FencingToken token) override;
    bool hasOpenCall() const override { return isOrdering_; }

private:
    // The endpoints of one kind in one domain, for which orders are given.
    struct Subject
    {
        std::optional<int> ordered; // the last order that the platform accepted from this host
        units::TimePoint orderedAt;
        std::optional<units::TimePoint> fewerWantedSince;
        units::TimePoint callAgainAt{};
    };
    using SubjectKey = std::pair<units::FailureDomain, bool>; // and whether preemptible

    struct Pool
    {
        std::optional<int> baseline;
        bool isBaselineMissing = false; // the store was asked and holds none
        // The most endpoints seen, for as long as the baseline is not known.
        int mostSeen = 0;
        std::optional<int> preemptibleAtFirst; // before this host ordered any
        units::TimePoint firstSeenAt{};
        units::TimePoint mostSeenAt{};
        std::map<SubjectKey, Subject> subjects;
        std::map<units::FailureDomain, units::TimePoint> withoutPreemptibleUntil;
    };

    void askBaseline(const ScaledPool &scaled, Pool &pool);
    static void countSeen(const ScaledPool &scaled, Pool &pool, units::TimePoint now);
    // Endpoints that the operator added later count as well.
    void raiseBaseline(const ScaledPool &scaled, Pool &pool);
    BaselineStore::Done baselineDone(const units::PoolName &name);
    void onBaseline(const units::PoolName &name, BaselineStore::Outcome outcome, int endpoints);
    // True if an order was sent.
    bool orderOne(const ScaledPool &scaled, Pool &pool, duties::FencingToken token);
    void notePreemption(const ScaledPool &scaled, Pool &pool);
    bool isDue(const ScaledPool &scaled, Subject &subject, int wanted, int ready);
    static int neededOf(const Pool &pool);
    void send(const ScaledPool &scaled, const SubjectKey &key, int wanted, int ready,
              duties::FencingToken token);
    void onOutcome(const duties::WorkerOrder &order, duties::CallOutcome outcome);
    void noteGauges(const ScaledPool &scaled, const PoolSize &size);

    const ScaledPools &pools_;
    const SizingPolicy &policy_;
    BaselineStore &baselines_;
    duties::DutyPlatform &platform_;
    observability::Metrics &metrics_;
    const units::Clock &clock_;
    std::map<units::PoolName, Pool> known_;
    duties::FencingToken heldToken_;
    units::TimePoint mayDecideFrom_{};
    units::TimePoint askBaselineAgainAt_{};
    bool isOrdering_ = false;
    bool isAskingBaseline_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace monsoongrade::scaling

#endif // MONSOONGRADE_SCALING_POOLAUTOSCALER_H
