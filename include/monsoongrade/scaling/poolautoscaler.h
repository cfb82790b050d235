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

// The duty of scaling pools: compares the endpoints of each pool with the policy's decision and
// orders the difference from the platform, scaling up at once and down only after a delay. Keeps no
// state that a new lease holder would need, as the endpoints are listed in the platform's store.
class PoolAutoscaler : public duties::Duty
{
public:
    PoolAutoscaler(const ScaledPools &pools, const SizingPolicy &policy, BaselineStore &baselines,
                   duties::DutyPlatform &platform, observability::Metrics &metrics,
                   const units::Clock &clock);

    void act(duties::FencingToken token) override;
    bool hasOpenCall() const override { return isOrderCallOpen_; }

private:
    // State of the orders for one kind of endpoint in one domain.
    struct OrderState
    {
        std::optional<int> ordered; // by the last order of this host that the platform accepted
        units::TimePoint orderedAt;
        std::optional<units::TimePoint> shrinkWantedSince;
        units::TimePoint retryAt{};
    };
    using DomainAndKind = std::pair<units::FailureDomain, bool>; // domain, preemptible

    struct PoolState
    {
        std::optional<int> baseline;
        bool isBaselineMissing = false; // the store has none
        // Maximum number of endpoints seen, without preemptible ones that this host ordered.
        int maxSeen = 0;
        std::optional<int> initialPreemptible; // before the first order of this host
        units::TimePoint firstSeenAt{};
        units::TimePoint maxSeenAt{};
        std::map<DomainAndKind, OrderState> orders;
        std::map<units::FailureDomain, units::TimePoint> preemptibleUnavailableUntil;
    };

    void fetchBaseline(const ScaledPool &scaled, PoolState &pool);
    static void updateMaxSeen(const ScaledPool &scaled, PoolState &pool, units::TimePoint now);
    // Raises the baseline to include endpoints that the operator added later.
    void raiseBaseline(const ScaledPool &scaled, PoolState &pool);
    BaselineStore::Done baselineCallback(const units::PoolName &name);
    void onBaseline(const units::PoolName &name, BaselineStore::Outcome outcome, int endpoints);
    // Sends at most one order; returns true if it did.
    bool orderNext(const ScaledPool &scaled, PoolState &pool, duties::FencingToken token);
    void detectPreemption(const ScaledPool &scaled, PoolState &pool);
    bool isDue(const ScaledPool &scaled, OrderState &state, int wanted, int ready);
    static int neededEndpoints(const PoolState &pool);
    void send(const ScaledPool &scaled, const DomainAndKind &key, int wanted, int ready,
              duties::FencingToken token);
    void onOutcome(const duties::WorkerOrder &order, duties::CallOutcome outcome);
    void updateGauges(const ScaledPool &scaled, const PoolSize &size);

    const ScaledPools &pools_;
    const SizingPolicy &policy_;
    BaselineStore &baselines_;
    duties::DutyPlatform &platform_;
    observability::Metrics &metrics_;
    const units::Clock &clock_;
    std::map<units::PoolName, PoolState> poolStates_;
    duties::FencingToken lastToken_;
    units::TimePoint mayDecideFrom_{};
    units::TimePoint baselineRetryAt_{};
    bool isOrderCallOpen_ = false;
    bool isBaselineCallOpen_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace monsoongrade::scaling

#endif // MONSOONGRADE_SCALING_POOLAUTOSCALER_H
