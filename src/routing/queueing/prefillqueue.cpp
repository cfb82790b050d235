#include <monsoongrade/routing/queueing/prefillqueue.h>

namespace monsoongrade::routing::queueing {

namespace {

// Mean prefill time, 60 to 130 ms on known engines. The same for all sizes: with its own prefill
// time, a long prompt would count as late sooner and go behind short ones of its tier.
constexpr auto TypicalReadTime = std::chrono::milliseconds(100);
// A request that starts later than this before its expiry would not complete in time: the prefill
// takes 0.1 s and the mean stream 0.3 to 1.5 s.
constexpr auto MinUsefulTime = std::chrono::seconds(1);

} // namespace

void PrefillQueue::add(const PlacementTicket &ticket, const PlacementQuery &query,
                       std::int64_t tokensToRead, units::TimePoint now, bool isOverShare,
                       Arrival arrival)
{
    remove(ticket);
    const bool isPartQueued = byPart_.count(query.sharedPart) != 0;
    Entry entry;
    entry.waiting = {ticket,
                     query,
                     now + query.targetIn,
                     now + query.expiresIn,
                     isPartQueued ? query.ownTokens : tokensToRead,
                     arrival};
    entry.sortKey = {query.tier, isOverShare, arrival, false, entry.waiting.targetAt, ticket};
    insertInOrder(entry);
    byPart_.emplace(query.sharedPart, ticket);
    byWorkspace_[workspaceKey(query)].insert(ticket);
    waiting_.emplace(ticket, std::move(entry));
}

PrefillQueue::TierOfPool PrefillQueue::tierOfPool(const PlacementQuery &query)
{
    return {query.pool.value(), query.tier};
}

PrefillQueue::WorkspaceKey PrefillQueue::workspaceKey(const PlacementQuery &query)
{
    return {tierOfPool(query), query.workspace.value()};
}

std::int64_t &PrefillQueue::tokensOf(const SortKey &key)
{
    TokensAhead &tokens = tokens_[{key.tier, key.isOverShare}];
    return key.isLate ? tokens.late : tokens.onTime;
}

std::size_t &PrefillQueue::countOf(const Entry &entry)
{
    RequestCounts &counts = counts_[tierOfPool(entry.waiting.query)];
    return entry.sortKey.isOverShare ? counts.overShare : counts.withinShare;
}

void PrefillQueue::insertInOrder(const Entry &entry)
{
    const SortKey &key = entry.sortKey;
    order_.insert(key);
    byExpiry_[key.isOverShare ? 1 : 0].emplace(entry.waiting.expiresAt, key.ticket);
    tokensOf(key) += entry.waiting.tokensToRead;
    ++countOf(entry);
}

void PrefillQueue::removeFromOrder(const Entry &entry)
{
    const SortKey &key = entry.sortKey;
    order_.erase(key);
    byExpiry_[key.isOverShare ? 1 : 0].erase({entry.waiting.expiresAt, key.ticket});
    tokensOf(key) -= entry.waiting.tokensToRead;
    --countOf(entry);
}

void PrefillQueue::remove(const PlacementTicket &ticket)
{
    const auto found = waiting_.find(ticket);
    if (found == waiting_.end())
        return;
    removeFromOrder(found->second);
    const auto ofWorkspace = byWorkspace_.find(workspaceKey(found->second.waiting.query));
    ofWorkspace->second.erase(ticket);
    if (ofWorkspace->second.empty())
        byWorkspace_.erase(ofWorkspace);
    auto [begin, end] = byPart_.equal_range(found->second.waiting.query.sharedPart);
    for (; begin != end; ++begin) {
        if (!(begin->second < ticket) && !(ticket < begin->second)) {
            byPart_.erase(begin);
            break;
        }
    }
    waiting_.erase(found);
}

void PrefillQueue::setOverShare(const units::PoolName &pool, units::Tier tier,
                                const units::WorkspaceName &workspace, bool isOverShare)
{
    const auto found = byWorkspace_.find({{pool.value(), tier}, workspace.value()});
    if (found == byWorkspace_.end())
        return;
    for (const PlacementTicket &ticket : found->second) {
        Entry &entry = waiting_.at(ticket);
        removeFromOrder(entry);
        entry.sortKey.isOverShare = isOverShare;
        insertInOrder(entry);
    }
}

std::vector<PlacementTicket> PrefillQueue::next(std::size_t maxCount, units::TimePoint now)
{
    std::vector<PlacementTicket> tickets;
    auto each = order_.begin();
    while (each != order_.end() && tickets.size() < maxCount) {
        const SortKey sortKey = *each++;
        const bool isLate = now + TypicalReadTime > sortKey.targetAt;
        if (!isLate || sortKey.isLate) {
            tickets.push_back(sortKey.ticket);
            continue;
        }
        Entry &entry = waiting_.at(sortKey.ticket);
        removeFromOrder(entry);
        entry.sortKey.isLate = true;
        insertInOrder(entry);
        // The next entry may come before the new position of this one.
        each = order_.upper_bound(sortKey);
    }
    return tickets;
}

std::vector<PrefillQueue::Waiting> PrefillQueue::takeExpired(std::size_t maxCount,
                                                             units::TimePoint now)
{
    std::vector<Waiting> expired;
    for (auto byExpiry = byExpiry_.rbegin(); byExpiry != byExpiry_.rend(); ++byExpiry) {
        while (!byExpiry->empty() && expired.size() < maxCount
               && byExpiry->begin()->first <= now + MinUsefulTime) {
            expired.push_back(waiting_.at(byExpiry->begin()->second).waiting);
            remove(expired.back().ticket);
        }
    }
    return expired;
}

bool PrefillQueue::hasWithinShare(const units::PoolName &pool, units::Tier tier) const
{
    const auto found = counts_.find({pool.value(), tier});
    return found != counts_.end() && found->second.withinShare > 0;
}

std::size_t PrefillQueue::requestsAhead(const units::PoolName &pool, units::Tier tier,
                                        bool isOverShare) const
{
    std::size_t ahead = 0;
    for (auto each = counts_.lower_bound({pool.value(), units::Tier(0)});
         each != counts_.end() && each->first <= TierOfPool(pool.value(), tier); ++each) {
        const bool countsOverShare = isOverShare || each->first.second < tier;
        ahead += each->second.withinShare + (countsOverShare ? each->second.overShare : 0);
    }
    return ahead;
}

bool PrefillQueue::hasHigherTier(const units::PoolName &pool, units::Tier tier) const
{
    return tier != units::Tier(0) && requestsAhead(pool, units::Tier(tier.value() - 1), true) > 0;
}

TokensAhead PrefillQueue::tokensAhead(units::Tier tier, bool isOverShare) const
{
    TokensAhead ahead;
    const std::pair<units::Tier, bool> own(tier, isOverShare);
    for (const auto &[each, tokens] : tokens_) {
        if (own < each)
            break;
        ahead.onTime += tokens.onTime;
        ahead.late += tokens.late;
    }
    return ahead;
}

TokensAhead PrefillQueue::tokensAbove(units::Tier tier) const
{
    return tier == units::Tier(0) ? TokensAhead{}
                                  : tokensAhead(units::Tier(tier.value() - 1), true);
}

std::vector<PlacementTicket> PrefillQueue::withSharedPart(const std::string &part) const
{
    std::vector<PlacementTicket> tickets;
    const auto [begin, end] = byPart_.equal_range(part);
    for (auto each = begin; each != end; ++each)
        tickets.push_back(each->second);
    return tickets;
}

const PrefillQueue::Waiting *PrefillQueue::find(const PlacementTicket &ticket) const
{
    const auto found = waiting_.find(ticket);
    return found == waiting_.end() ? nullptr : &found->second.waiting;
}

} // namespace monsoongrade::routing::queueing
