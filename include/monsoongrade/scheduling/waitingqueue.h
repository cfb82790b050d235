#ifndef MONSOONGRADE_SCHEDULING_WAITINGQUEUE_H
#define MONSOONGRADE_SCHEDULING_WAITINGQUEUE_H

#include <monsoongrade/scheduling/backlogorder.h>
#include <monsoongrade/scheduling/cellpolicy.h>
#include <monsoongrade/scheduling/fairshare.h>
#include <monsoongrade/scheduling/waitingask.h>

#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace monsoongrade::scheduling {

// The asks that wait for a slot. Order: tiers strictly; within a tier first those that were
// passed over, then weighted fair by class, then by workspace, by tokens; within a workspace by
// deadline, those still in time first. Each operation costs O(log n) in the number waiting; tiers
// are few.
class WaitingQueue
{
public:
    // Requires an empty queue: take everything out with takeAll() and put it back after.
    void setPolicy(const CellPolicy &policy);

    std::size_t size() const { return asks_.size(); }
    // Asks of the given and of all higher tiers.
    std::size_t sizeUpTo(units::Tier tier) const;
    bool contains(const units::RequestId &request) const;

    void push(WaitingAsk ask);
    // Takes an ask out, wherever it stands; nothing if it does not wait.
    std::optional<WaitingAsk> take(const units::RequestId &request);
    // Takes out all asks, or all those of one router, in order of arrival. Linear: only for
    // changes of the policy and the loss of a router.
    std::vector<WaitingAsk> takeAll();
    std::vector<WaitingAsk> takeAll(const units::DaemonId &router);

    // The next ask in order within the given tier; null if the tier has none. Those whose target
    // has passed go behind the others of their workspace: serving in order of arrival under a
    // lasting overload would make everybody late, each by a little.
    const WaitingAsk *first(units::Tier tier, units::TimePoint now) const;
    // The ask to shed if more wait than have a place, else null: of the lowest tier that has
    // more than its reserved places, of the class and workspace with the most waiting for their
    // weight, the one with the latest deadline.
    const WaitingAsk *toShed() const;
    // Takes out the ask that must be given up first, if its time has come.
    std::optional<WaitingAsk> takeGivenUp(units::TimePoint now);
    // Gives the ask the tier's next slot, and time until the given moment to get it. It no longer
    // takes a place in the queue and can't be shed. At most one a tier of the highest backlogged
    // ones, since its tier's next slot is its own.
    void markPassedOver(const units::RequestId &request, units::TimePoint giveUpAt);
    bool hasPassedOver(units::Tier tier) const;

    // Tiers with somebody waiting, highest first.
    std::vector<units::Tier> backloggedTiers() const;

    // Books the tokens of a grant that starts now; correct() books what an estimate was off by.
    void serve(const units::ClassName &className, const units::WorkspaceName &workspace,
               double tokens);
    void correct(const units::ClassName &className, const units::WorkspaceName &workspace,
                 double tokens);

private:
    using DeadlineOrder = std::set<std::pair<units::TimePoint, std::uint64_t>>;
    struct ClassQueue
    {
        FairShare<units::WorkspaceName> workspaces;
        BacklogOrder<units::WorkspaceName> backlog;
        std::map<units::WorkspaceName, DeadlineOrder> waiting;
    };
    struct TierQueue
    {
        FairShare<units::ClassName> classes;
        BacklogOrder<units::ClassName> backlog;
        std::map<units::ClassName, ClassQueue> waiting;
        std::set<std::uint64_t> passedOver;
        std::size_t inOrder = 0;

        std::size_t size() const { return inOrder + passedOver.size(); }
    };

    std::vector<WaitingAsk> takeAllOf(const units::DaemonId *router);
    void insertInOrder(const WaitingAsk &ask);
    void removeFromOrder(const WaitingAsk &ask);
    double classWeight(const units::ClassName &className) const;
    double workspaceWeight(const units::WorkspaceName &workspace) const;

    CellPolicy policy_;
    std::map<units::Tier, std::size_t> reserved_;
    std::size_t sharedPlaces_ = 0;
    std::map<units::Tier, TierQueue> tiers_;
    std::unordered_map<std::uint64_t, WaitingAsk> asks_;
    std::unordered_map<units::RequestId, std::uint64_t> sequenceByRequest_;
    std::set<std::pair<units::TimePoint, std::uint64_t>> byGiveUp_;
    std::uint64_t nextSequence_ = 1;
};

} // namespace monsoongrade::scheduling

#endif // MONSOONGRADE_SCHEDULING_WAITINGQUEUE_H
