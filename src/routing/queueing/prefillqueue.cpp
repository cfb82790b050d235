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
                       std::int64_t tokensToRead, units::TimePoint now, Arrival arrival)
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
    entry.sortKey = {query.tier, arrival, false, entry.waiting.targetAt, ticket};
    order_.insert(entry.sortKey);
    byPart_.emplace(query.sharedPart, ticket);
    byExpiry_.emplace(entry.waiting.expiresAt, ticket);
    tokensOf(entry) += entry.waiting.tokensToRead;
    waiting_.emplace(ticket, std::move(entry));
}

std::int64_t &PrefillQueue::tokensOf(const Entry &entry)
{
    TokensAhead &tokens = tokens_[entry.waiting.query.tier];
    return std::get<bool>(entry.sortKey) ? tokens.late : tokens.onTime;
}

void PrefillQueue::remove(const PlacementTicket &ticket)
{
    const auto found = waiting_.find(ticket);
    if (found == waiting_.end())
        return;
    order_.erase(found->second.sortKey);
    byExpiry_.erase({found->second.waiting.expiresAt, ticket});
    tokensOf(found->second) -= found->second.waiting.tokensToRead;
    auto [begin, end] = byPart_.equal_range(found->second.waiting.query.sharedPart);
    for (; begin != end; ++begin) {
        if (!(begin->second < ticket) && !(ticket < begin->second)) {
            byPart_.erase(begin);
            break;
        }
    }
    waiting_.erase(found);
}

std::vector<PlacementTicket> PrefillQueue::next(std::size_t maxCount, units::TimePoint now)
{
    std::vector<PlacementTicket> tickets;
    auto each = order_.begin();
    while (each != order_.end() && tickets.size() < maxCount) {
        const SortKey sortKey = *each++;
        const PlacementTicket &ticket = std::get<PlacementTicket>(sortKey);
        Entry &entry = waiting_.at(ticket);
        const bool isLate = now + TypicalReadTime > entry.waiting.targetAt;
        if (!isLate || std::get<bool>(sortKey)) {
            tickets.push_back(ticket);
            continue;
        }
        order_.erase(sortKey);
        tokensOf(entry) -= entry.waiting.tokensToRead;
        std::get<bool>(entry.sortKey) = true;
        tokensOf(entry) += entry.waiting.tokensToRead;
        order_.insert(entry.sortKey);
        // The next entry may come before the new position of this one.
        each = order_.upper_bound(sortKey);
    }
    return tickets;
}

std::vector<PrefillQueue::Waiting> PrefillQueue::takeExpired(std::size_t maxCount,
                                                             units::TimePoint now)
{
    std::vector<Waiting> expired;
    while (!byExpiry_.empty() && expired.size() < maxCount
           && byExpiry_.begin()->first <= now + MinUsefulTime) {
        expired.push_back(waiting_.at(byExpiry_.begin()->second).waiting);
        remove(expired.back().ticket);
    }
    return expired;
}

TokensAhead PrefillQueue::tokensAhead(units::Tier tier) const
{
    TokensAhead ahead;
    for (const auto &[each, tokens] : tokens_) {
        if (tier < each)
            break;
        ahead.onTime += tokens.onTime;
        ahead.late += tokens.late;
    }
    return ahead;
}

TokensAhead PrefillQueue::tokensAbove(units::Tier tier) const
{
    return tier == units::Tier(0) ? TokensAhead{} : tokensAhead(units::Tier(tier.value() - 1));
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
