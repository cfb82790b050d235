#ifndef MONSOONGRADE_ROUTING_QUEUEING_PREFILLQUEUE_H
#define MONSOONGRADE_ROUTING_QUEUEING_PREFILLQUEUE_H

#include <monsoongrade/routing/placementquery.h>
#include <monsoongrade/routing/placementticket.h>
#include <monsoongrade/routing/queueing/waitforecast.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace monsoongrade::routing::queueing {

// Queue of requests with long prefills that wait for an endpoint. Ordered by tier; within a tier
// scheduled retries go before first-time requests, see ReturnSchedule. Among these, the requests
// that can still meet their target go first, by due time. A request that is already late would
// otherwise delay one that is not. The size of a request does not matter.
class PrefillQueue
{
public:
    // Requests of one tier are ordered by this first.
    enum class Arrival : std::uint8_t { ScheduledRetry, FirstTime };

    struct Waiting
    {
        PlacementTicket ticket;
        PlacementQuery query;
        units::TimePoint targetAt;
        units::TimePoint expiresAt;
        std::int64_t tokensToRead = 0;
        Arrival arrival = Arrival::FirstTime;
    };

    // tokensToRead: the prefill tokens of the request. If another request waits for the same part,
    // only its own tokens count.
    void add(const PlacementTicket &ticket, const PlacementQuery &query, std::int64_t tokensToRead,
             units::TimePoint now, Arrival arrival = Arrival::FirstTime);
    void remove(const PlacementTicket &ticket);
    // The next requests to place, in order.
    std::vector<PlacementTicket> next(std::size_t maxCount, units::TimePoint now);
    // Removes and returns requests that can't complete before their clients give up.
    std::vector<Waiting> takeExpired(std::size_t maxCount, units::TimePoint now);
    // Tokens of the requests ahead of a new one of the tier.
    TokensAhead tokensAhead(units::Tier tier) const;
    // Tokens of the requests of higher tiers.
    TokensAhead tokensAbove(units::Tier tier) const;
    // The requests that wait for the same shared part.
    std::vector<PlacementTicket> withSharedPart(const std::string &part) const;
    const Waiting *find(const PlacementTicket &ticket) const;
    bool isEmpty() const { return waiting_.empty(); }
    std::size_t size() const { return waiting_.size(); }

private:
    // Tier, scheduled retries first, whether the target can no longer be met, due time, ticket.
    using SortKey = std::tuple<units::Tier, Arrival, bool, units::TimePoint, PlacementTicket>;
    struct Entry
    {
        Waiting waiting;
        SortKey sortKey;
    };

    std::int64_t &tokensOf(const Entry &entry);

    std::map<PlacementTicket, Entry> waiting_;
    std::set<SortKey> order_;
    std::multimap<std::string, PlacementTicket> byPart_;
    std::set<std::pair<units::TimePoint, PlacementTicket>> byExpiry_;
    std::map<units::Tier, TokensAhead> tokens_;
};

} // namespace monsoongrade::routing::queueing

#endif // MONSOONGRADE_ROUTING_QUEUEING_PREFILLQUEUE_H
