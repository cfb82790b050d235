#include <monsoongrade/scheduling/waitingqueue.h>

namespace monsoongrade::scheduling {

void WaitingQueue::setPolicy(const CellPolicy &policy)
{
    classes_ = policy.classes;
    workspaceWeights_ = policy.workspaceWeights;
}

std::size_t WaitingQueue::size(units::Tier tier) const
{
    const auto found = tiers_.find(tier);
    return found == tiers_.end() ? 0 : found->second.size;
}

void WaitingQueue::push(WaitingAsk ask)
{
    ask.sequence = nextSequence_++;
    TierQueue &tier = tiers_[ask.tier];
    ClassQueue &classQueue = tier.waiting[ask.ask.className];
    DeadlineOrder &order = classQueue.waiting[ask.ask.workspace];
    if (order.empty())
        classQueue.workspaces.activate(ask.ask.workspace);
    if (classQueue.size == 0)
        tier.classes.activate(ask.ask.className);
    order.insert({ask.firstTokenDue, ask.sequence});
    ++classQueue.size;
    ++tier.size;
    byGiveUp_.insert({ask.giveUpAt, ask.sequence});
    sequenceByRequest_[ask.ask.request] = ask.sequence;
    const std::uint64_t sequence = ask.sequence;
    asks_.emplace(sequence, std::move(ask));
}

std::optional<WaitingAsk> WaitingQueue::take(const units::RequestId &request)
{
    const auto found = sequenceByRequest_.find(request);
    if (found == sequenceByRequest_.end())
        return std::nullopt;
    const auto entry = asks_.find(found->second);
    WaitingAsk ask = std::move(entry->second);
    asks_.erase(entry);
    sequenceByRequest_.erase(found);
    byGiveUp_.erase({ask.giveUpAt, ask.sequence});

    TierQueue &tier = tiers_[ask.tier];
    ClassQueue &classQueue = tier.waiting[ask.ask.className];
    const auto orderEntry = classQueue.waiting.find(ask.ask.workspace);
    orderEntry->second.erase({ask.firstTokenDue, ask.sequence});
    if (orderEntry->second.empty()) {
        classQueue.workspaces.deactivate(ask.ask.workspace);
        classQueue.waiting.erase(orderEntry);
    }
    if (--classQueue.size == 0)
        tier.classes.deactivate(ask.ask.className);
    --tier.size;
    return ask;
}

const WaitingAsk *WaitingQueue::first(units::Tier tier) const
{
    const auto found = tiers_.find(tier);
    if (found == tiers_.end() || found->second.size == 0)
        return nullptr;
    const ClassQueue &classQueue = found->second.waiting.at(found->second.classes.first());
    const DeadlineOrder &order = classQueue.waiting.at(classQueue.workspaces.first());
    return &asks_.at(order.begin()->second);
}

const WaitingAsk *WaitingQueue::leastEntitled() const
{
    for (auto tier = tiers_.rbegin(); tier != tiers_.rend(); ++tier) {
        if (tier->second.size == 0)
            continue;
        const ClassQueue &classQueue = tier->second.waiting.at(tier->second.classes.last());
        const DeadlineOrder &order = classQueue.waiting.at(classQueue.workspaces.last());
        return &asks_.at(order.rbegin()->second);
    }
    return nullptr;
}

const WaitingAsk *WaitingQueue::nextToGiveUp() const
{
    return byGiveUp_.empty() ? nullptr : &asks_.at(byGiveUp_.begin()->second);
}

std::vector<units::Tier> WaitingQueue::backloggedTiers() const
{
    std::vector<units::Tier> result;
    for (const auto &[tier, queue] : tiers_) {
        if (queue.size > 0)
            result.push_back(tier);
    }
    return result;
}

void WaitingQueue::charge(const units::ClassName &className, const units::WorkspaceName &workspace,
                          double tokens)
{
    TierQueue &tier = tiers_[tierOf(className)];
    tier.classes.charge(className, tokens, classWeight(className));
    tier.waiting[className].workspaces.charge(workspace, tokens, workspaceWeight(workspace));
}

units::Tier WaitingQueue::tierOf(const units::ClassName &className) const
{
    const auto found = classes_.find(className);
    return found == classes_.end() ? units::Tier() : found->second.tier;
}

double WaitingQueue::classWeight(const units::ClassName &className) const
{
    const auto found = classes_.find(className);
    return found == classes_.end() ? 1.0 : found->second.weight;
}

double WaitingQueue::workspaceWeight(const units::WorkspaceName &workspace) const
{
    const auto found = workspaceWeights_.find(workspace);
    return found == workspaceWeights_.end() ? 1.0 : found->second;
}

} // namespace monsoongrade::scheduling
