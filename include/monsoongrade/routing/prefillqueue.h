#ifndef MONSOONGRADE_ROUTING_PREFILLQUEUE_H
#define MONSOONGRADE_ROUTING_PREFILLQUEUE_H

#include <monsoongrade/routing/placementquery.h>
#include <monsoongrade/routing/placementticket.h>
#include <monsoongrade/routing/waitforecast.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace monsoongrade::routing {

// Requests with long reads that wait for an endpoint. The order is by tier; within a tier those
// that can still be on time go first, by the time at which they are due. A request that is late
// anyway would else hold up one that is not, and make it late too. A request's size plays no part.
class PrefillQueue
{
public:
    struct Waiting
    {
        PlacementTicket ticket;
        PlacementQuery query;
        units::TimePoint targetAt;
        units::TimePoint givenUpAt;
        std::int64_t tokensToRead = 0;
    };

    // tokensToRead: what an endpoint has to read for it. If another request waits for the same
    // part, only its own tokens count.
    void add(const PlacementTicket &ticket, const PlacementQuery &query, std::int64_t tokensToRead,
             units::TimePoint now);
    void remove(const PlacementTicket &ticket);
    // The requests to place next, at most so many.
    std::vector<PlacementTicket> next(std::size_t most, units::TimePoint now);
    // Removes and returns those that are too late to be of use to their clients. At most so many.
    std::vector<PlacementTicket> takeGivenUp(std::size_t most, units::TimePoint now);
    // Tokens of the requests that go before a new one of the tier.
    TokensAhead tokensAhead(units::Tier tier) const;
    // The requests that wait for the same shared part.
    std::vector<PlacementTicket> withPart(const std::string &part) const;
    const Waiting *find(const PlacementTicket &ticket) const;
    bool isEmpty() const { return waiting_.empty(); }
    std::size_t size() const { return waiting_.size(); }

private:
    // Tier, whether it is too late for the target, due time, ticket.
    using Place = std::tuple<units::Tier, bool, units::TimePoint, PlacementTicket>;
    struct Entry
    {
        Waiting waiting;
        Place place;
    };

    std::int64_t &tokensOf(const Entry &entry);

    std::map<PlacementTicket, Entry> waiting_;
    std::set<Place> order_;
    std::multimap<std::string, PlacementTicket> byPart_;
    std::set<std::pair<units::TimePoint, PlacementTicket>> byGivenUp_;
    std::map<units::Tier, TokensAhead> tokens_;
};

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_PREFILLQUEUE_H
