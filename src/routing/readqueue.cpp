#include <monsoongrade/routing/readqueue.h>

namespace monsoongrade::routing {

namespace {

// Engines read about 157 tokens a millisecond.
constexpr std::int64_t TokensReadPerMs = 150;

units::Duration readTime(const PlacementQuery &query)
{
    return std::chrono::milliseconds(query.promptTokens / TokensReadPerMs);
}

} // namespace

void ReadQueue::add(const PlacementTicket &ticket, const PlacementQuery &query,
                    units::TimePoint now)
{
    remove(ticket);
    Entry entry;
    entry.waiting = {ticket, query, now + query.targetIn, now + query.givenUpIn};
    entry.place = {query.tier, false, entry.waiting.targetAt, ticket};
    order_.insert(entry.place);
    byPart_.emplace(query.sharedPart, ticket);
    waiting_.emplace(ticket, std::move(entry));
}

void ReadQueue::remove(const PlacementTicket &ticket)
{
    const auto found = waiting_.find(ticket);
    if (found == waiting_.end())
        return;
    order_.erase(found->second.place);
    auto [begin, end] = byPart_.equal_range(found->second.waiting.query.sharedPart);
    for (; begin != end; ++begin) {
        if (!(begin->second < ticket) && !(ticket < begin->second)) {
            byPart_.erase(begin);
            break;
        }
    }
    waiting_.erase(found);
}

std::vector<PlacementTicket> ReadQueue::next(std::size_t most, units::TimePoint now)
{
    std::vector<PlacementTicket> tickets;
    auto each = order_.begin();
    while (each != order_.end() && tickets.size() < most) {
        const Place place = *each++;
        const PlacementTicket &ticket = std::get<PlacementTicket>(place);
        Entry &entry = waiting_.at(ticket);
        if (now >= entry.waiting.givenUpAt) {
            remove(ticket);
            continue;
        }
        const bool isLate = now + readTime(entry.waiting.query) > entry.waiting.targetAt;
        if (!isLate || std::get<bool>(place)) {
            tickets.push_back(ticket);
            continue;
        }
        order_.erase(place);
        std::get<bool>(entry.place) = true;
        order_.insert(entry.place);
        // The next in order may stand before the new place of this one.
        each = order_.upper_bound(place);
    }
    return tickets;
}

std::vector<PlacementTicket> ReadQueue::withPart(const std::string &part) const
{
    std::vector<PlacementTicket> tickets;
    const auto [begin, end] = byPart_.equal_range(part);
    for (auto each = begin; each != end; ++each)
        tickets.push_back(each->second);
    return tickets;
}

const ReadQueue::Waiting *ReadQueue::find(const PlacementTicket &ticket) const
{
    const auto found = waiting_.find(ticket);
    return found == waiting_.end() ? nullptr : &found->second.waiting;
}

} // namespace monsoongrade::routing
