#include <monsoongrade/scheduling/waitingqueue.h>

#include <algorithm>

namespace monsoongrade::scheduling {

namespace {

// An ask granted in the last moment before its target is late all the same: the endpoint needs
// this long for the first token.
constexpr auto FirstTokenAllowance = std::chrono::milliseconds(500);

} // namespace

void WaitingQueue::setPolicy(const CellPolicy &policy)
{
    policy_ = policy;
    reserved_.clear();
    sharedPlaces_ = policy.queueLimit;
    for (const auto &entry : policy.classes) {
        const units::Tier tier = entry.second.tier;
        const std::size_t places = policy.reservedPlaces(tier);
        if (reserved_.emplace(tier, places).second)
            sharedPlaces_ -= std::min(sharedPlaces_, places);
    }
}

std::size_t WaitingQueue::sizeUpTo(units::Tier tier) const
{
    std::size_t count = 0;
    for (const auto &[each, queue] : tiers_)
        count += each <= tier ? queue.size() : 0;
    return count;
}

bool WaitingQueue::contains(const units::RequestId &request) const
{
    return sequenceByRequest_.count(request) > 0;
}

void WaitingQueue::push(WaitingAsk ask)
{
    if (ask.sequence == 0)
        ask.sequence = nextSequence_++;
    if (ask.passedOver)
        tiers_[ask.tier].passedOver.insert(ask.sequence);
    else
        insertInOrder(ask);
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
    if (ask.passedOver)
        tiers_[ask.tier].passedOver.erase(ask.sequence);
    else
        removeFromOrder(ask);
    return ask;
}

std::vector<WaitingAsk> WaitingQueue::takeAll()
{
    return takeAllOf(nullptr);
}

std::vector<WaitingAsk> WaitingQueue::takeAll(const units::DaemonId &router)
{
    return takeAllOf(&router);
}

std::vector<WaitingAsk> WaitingQueue::takeAllOf(const units::DaemonId *router)
{
    std::set<std::uint64_t> sequences;
    for (const auto &[sequence, ask] : asks_) {
        if (router == nullptr || ask.ask.router == *router)
            sequences.insert(sequence);
    }
    std::vector<WaitingAsk> taken;
    taken.reserve(sequences.size());
    for (const std::uint64_t sequence : sequences)
        taken.push_back(*take(asks_.at(sequence).ask.request));
    return taken;
}

const WaitingAsk *WaitingQueue::first(units::Tier tier, units::TimePoint now) const
{
    const auto found = tiers_.find(tier);
    if (found == tiers_.end() || found->second.size() == 0)
        return nullptr;
    if (!found->second.passedOver.empty())
        return &asks_.at(*found->second.passedOver.begin());
    const ClassQueue &classQueue = found->second.waiting.at(found->second.classes.first());
    const DeadlineOrder &order = classQueue.waiting.at(classQueue.workspaces.first());
    const auto inTime = order.lower_bound({now + FirstTokenAllowance, 0});
    return &asks_.at((inTime == order.end() ? order.begin() : inTime)->second);
}

const WaitingAsk *WaitingQueue::toShed() const
{
    std::size_t sharedTaken = 0;
    const TierQueue *lowest = nullptr;
    for (const auto &[tier, queue] : tiers_) {
        const auto found = reserved_.find(tier);
        const std::size_t reserved = found == reserved_.end() ? 0 : found->second;
        if (queue.inOrder <= reserved)
            continue;
        sharedTaken += queue.inOrder - reserved;
        lowest = &queue;
    }
    if (sharedTaken <= sharedPlaces_ || lowest == nullptr)
        return nullptr;
    const ClassQueue &classQueue = lowest->waiting.at(lowest->backlog.longest());
    const DeadlineOrder &order = classQueue.waiting.at(classQueue.backlog.longest());
    return &asks_.at(order.rbegin()->second);
}

std::optional<WaitingAsk> WaitingQueue::takeGivenUp(units::TimePoint now)
{
    if (byGiveUp_.empty() || byGiveUp_.begin()->first > now)
        return std::nullopt;
    return take(asks_.at(byGiveUp_.begin()->second).ask.request);
}

void WaitingQueue::markPassedOver(const units::RequestId &request, units::TimePoint giveUpAt)
{
    std::optional<WaitingAsk> ask = take(request);
    if (!ask)
        return;
    ask->passedOver = true;
    ask->callerLeavesFirst = false;
    ask->giveUpAt = std::max(ask->giveUpAt, giveUpAt);
    push(std::move(*ask));
}

bool WaitingQueue::hasPassedOver(units::Tier tier) const
{
    const auto found = tiers_.find(tier);
    return found != tiers_.end() && !found->second.passedOver.empty();
}

std::vector<units::Tier> WaitingQueue::backloggedTiers() const
{
    std::vector<units::Tier> result;
    for (const auto &[tier, queue] : tiers_) {
        if (queue.size() > 0)
            result.push_back(tier);
    }
    return result;
}

void WaitingQueue::serve(const units::ClassName &className, const units::WorkspaceName &workspace,
                         double tokens)
{
    TierQueue &tier = tiers_[policy_.tierOf(className)];
    tier.classes.serve(className, tokens, classWeight(className));
    tier.waiting[className].workspaces.serve(workspace, tokens, workspaceWeight(workspace));
}

void WaitingQueue::correct(const units::ClassName &className, const units::WorkspaceName &workspace,
                           double tokens)
{
    TierQueue &tier = tiers_[policy_.tierOf(className)];
    tier.classes.correct(className, tokens, classWeight(className));
    tier.waiting[className].workspaces.correct(workspace, tokens, workspaceWeight(workspace));
}

void WaitingQueue::insertInOrder(const WaitingAsk &ask)
{
    const units::ClassName &className = ask.ask.className;
    const units::WorkspaceName &workspace = ask.ask.workspace;
    TierQueue &tier = tiers_[ask.tier];
    ClassQueue &classQueue = tier.waiting[className];
    if (classQueue.waiting.empty())
        tier.classes.activate(className);
    DeadlineOrder &order = classQueue.waiting[workspace];
    if (order.empty())
        classQueue.workspaces.activate(workspace);
    order.insert({ask.firstTokenDue, ask.sequence});
    tier.backlog.add(className, classWeight(className));
    classQueue.backlog.add(workspace, workspaceWeight(workspace));
    ++tier.inOrder;
}

void WaitingQueue::removeFromOrder(const WaitingAsk &ask)
{
    const units::ClassName &className = ask.ask.className;
    const units::WorkspaceName &workspace = ask.ask.workspace;
    TierQueue &tier = tiers_[ask.tier];
    ClassQueue &classQueue = tier.waiting[className];
    const auto order = classQueue.waiting.find(workspace);
    order->second.erase({ask.firstTokenDue, ask.sequence});
    if (order->second.empty()) {
        classQueue.workspaces.deactivate(workspace);
        classQueue.waiting.erase(order);
    }
    if (classQueue.waiting.empty())
        tier.classes.deactivate(className);
    tier.backlog.remove(className, classWeight(className));
    classQueue.backlog.remove(workspace, workspaceWeight(workspace));
    --tier.inOrder;
}

double WaitingQueue::classWeight(const units::ClassName &className) const
{
    const auto found = policy_.classes.find(className);
    return found == policy_.classes.end() ? 1.0 : found->second.weight;
}

double WaitingQueue::workspaceWeight(const units::WorkspaceName &workspace) const
{
    const auto found = policy_.workspaceWeights.find(workspace);
    return found == policy_.workspaceWeights.end() ? 1.0 : found->second;
}

} // namespace monsoongrade::scheduling
