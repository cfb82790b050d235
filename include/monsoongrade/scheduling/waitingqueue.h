#ifndef MONSOONGRADE_SCHEDULING_WAITINGQUEUE_H
#define MONSOONGRADE_SCHEDULING_WAITINGQUEUE_H

#include <monsoongrade/scheduling/cellpolicy.h>
#include <monsoongrade/scheduling/fairshare.h>
#include <monsoongrade/scheduling/slotask.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>

namespace monsoongrade::scheduling {

// One ask in the queue, with the times that its class's policy gave it.
struct WaitingAsk
{
    SlotAsk ask;
    units::Tier tier;
    units::TimePoint arrived;
    units::TimePoint firstTokenDue;
    units::TimePoint giveUpAt;
    LatePolicy late = LatePolicy::Serve;
    std::uint64_t sequence = 0;
};

// The asks that wait for a slot. Order: tiers strictly; within a tier weighted fair by class,
// then by workspace, by tokens; within a workspace by deadline. Each operation costs
// O(log n) in the number waiting.
class WaitingQueue
{
public:
    void setPolicy(const CellPolicy &policy);
    std::size_t size() const { return asks_.size(); }
    std::size_t size(units::Tier tier) const;

    void push(WaitingAsk ask);
    // Takes an ask out, wherever it stands; nothing if it does not wait.
    std::optional<WaitingAsk> take(const units::RequestId &request);

    // The next ask in order within the given tier; null if the tier has none.
    const WaitingAsk *first(units::Tier tier) const;
    // The ask to shed first: of the lowest tier, of the class and workspace furthest over
    // their share, the one with the latest deadline.
    const WaitingAsk *leastEntitled() const;
    // The ask that must be given up first; null if none waits.
    const WaitingAsk *nextToGiveUp() const;

    // Tiers with somebody waiting, highest first.
    std::vector<units::Tier> backloggedTiers() const;

    // Books tokens against a class and a workspace; negative tokens correct an estimate.
    void charge(const units::ClassName &className, const units::WorkspaceName &workspace,
                double tokens);

private:
    using DeadlineOrder = std::set<std::pair<units::TimePoint, std::uint64_t>>;
    struct ClassQueue
    {
        FairShare<units::WorkspaceName> workspaces;
        std::map<units::WorkspaceName, DeadlineOrder> waiting;
        std::size_t size = 0;
    };
    struct TierQueue
    {
        FairShare<units::ClassName> classes;
        std::map<units::ClassName, ClassQueue> waiting;
        std::size_t size = 0;
    };

    units::Tier tierOf(const units::ClassName &className) const;
    double classWeight(const units::ClassName &className) const;
    double workspaceWeight(const units::WorkspaceName &workspace) const;

    std::map<units::ClassName, ClassPolicy> classes_;
    std::map<units::WorkspaceName, double> workspaceWeights_;
    std::map<units::Tier, TierQueue> tiers_;
    std::unordered_map<std::uint64_t, WaitingAsk> asks_;
    std::unordered_map<units::RequestId, std::uint64_t> sequenceByRequest_;
    std::set<std::pair<units::TimePoint, std::uint64_t>> byGiveUp_;
    std::uint64_t nextSequence_ = 1;
};

} // namespace monsoongrade::scheduling

#endif // MONSOONGRADE_SCHEDULING_WAITINGQUEUE_H
