#include <monsoongrade/routing/prefillqueue.h>

namespace monsoongrade::routing {

namespace {

// A mean read, 60 to 130 ms on the engines known. It is the same for all sizes: with a request's
// own reading time, long prompts would count as late sooner and go behind short ones of their tier.
constexpr auto TypicalReadTime = std::chrono::milliseconds(100);
// Below this, a request that starts now would not end before its client leaves: reading takes 0.1 s
// and the mean stream 0.3 to 1.5 s.
constexpr auto MinUsefulTime = std::chrono::seconds(1);

} // namespace

void PrefillQueue::add(const PlacementTicket &ticket, const PlacementQuery &query,
                       std::int64_t tokensToRead, units::TimePoint now)
{
    remove(ticket);
    const bool isPartAwaited = byPart_.count(query.sharedPart) != 0;
    Entry entry;
    entry.waiting = {ticket, query, now + query.targetIn, now + query.expiresIn,
                     isPartAwaited ? query.ownTokens : tokensToRead};
    entry.place = {query.tier, false, entry.waiting.targetAt, ticket};
    order_.insert(entry.place);
    byPart_.emplace(query.sharedPart, ticket);
    byGivenUp_.emplace(entry.waiting.givenUpAt, ticket);
    tokensOf(entry) += entry.waiting.tokensToRead;
    waiting_.emplace(ticket, std::move(entry));
}

std::int64_t &PrefillQueue::tokensOf(const Entry &entry)
{
    TokensAhead &tokens = tokens_[entry.waiting.query.tier];
    return std::get<bool>(entry.place) ? tokens.late : tokens.onTime;
}

void PrefillQueue::remove(const PlacementTicket &ticket)
{
    const auto found = waiting_.find(ticket);
    if (found == waiting_.end())
        return;
    order_.erase(found->second.place);
    byGivenUp_.erase({found->second.waiting.givenUpAt, ticket});
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

std::vector<PlacementTicket> PrefillQueue::next(std::size_t most, units::TimePoint now)
{
    std::vector<PlacementTicket> tickets;
    auto each = order_.begin();
    while (each != order_.end() && tickets.size() < most) {
        const Place place = *each++;
        const PlacementTicket &ticket = std::get<PlacementTicket>(place);
        Entry &entry = waiting_.at(ticket);
        const bool isLate = now + TypicalReadTime > entry.waiting.targetAt;
        if (!isLate || std::get<bool>(place)) {
            tickets.push_back(ticket);
            continue;
        }
        order_.erase(place);
        tokensOf(entry) -= entry.waiting.tokensToRead;
        std::get<bool>(entry.place) = true;
        tokensOf(entry) += entry.waiting.tokensToRead;
        order_.insert(entry.place);
        // The next in order may stand before the new place of this one.
        each = order_.upper_bound(place);
    }
    return tickets;
}

std::vector<PlacementTicket> PrefillQueue::takeGivenUp(std::size_t most, units::TimePoint now)
{
    std::vector<PlacementTicket> tickets;
    while (!byGivenUp_.empty() && tickets.size() < most
           && byGivenUp_.begin()->first <= now + MinUsefulTime) {
        tickets.push_back(byGivenUp_.begin()->second);
        remove(tickets.back());
    }
    return tickets;
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

std::vector<PlacementTicket> PrefillQueue::withPart(const std::string &part) const
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

} // namespace monsoongrade::routing
