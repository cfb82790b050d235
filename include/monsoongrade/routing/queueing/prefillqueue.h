#ifndef MONSOONGRADE_ROUTING_QUEUEING_PREFILLQUEUE_H
#define MONSOONGRADE_ROUTING_QUEUEING_PREFILLQUEUE_H

#include <monsoongrade/routing/placementquery.h>
#include <monsoongrade/routing/placementticket.h>
#include <monsoongrade/routing/queueing/waitforecast.h>

#include <array>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace monsoongrade::routing::queueing {

// Queue of requests that wait for an endpoint: those with long prefills, and all of a pool whose
// endpoints are at their rate limits or without a slot. Ordered by tier; within a tier
// the requests of workspaces within their share go first, see WorkspaceShares; among those,
// scheduled retries, see ReturnSchedule; among those, the requests that can still meet their
// target, by due time. A request that is already late would otherwise delay one that is not. The
// size of a request does not matter.
class PrefillQueue
{
public:
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
    // only its own tokens count. isOverShare: whether its workspace is over its share.
    void add(const PlacementTicket &ticket, const PlacementQuery &query, std::int64_t tokensToRead,
             units::TimePoint now, bool isOverShare = false, Arrival arrival = Arrival::FirstTime);
    void remove(const PlacementTicket &ticket);
    // The workspace's status in this pool and tier has changed. Takes time in proportion to its
    // waiting requests.
    void setOverShare(const units::PoolName &pool, units::Tier tier,
                      const units::WorkspaceName &workspace, bool isOverShare);
    // The next requests to place, in order.
    std::vector<PlacementTicket> next(std::size_t maxCount, units::TimePoint now);
    // Removes and returns requests that can't complete before their clients give up; first those
    // of workspaces over their share.
    std::vector<Waiting> takeExpired(std::size_t maxCount, units::TimePoint now);
    // Tokens of the requests ahead of a new one of the tier, whose workspace is over its share or
    // not.
    TokensAhead tokensAhead(units::Tier tier, bool isOverShare = false) const;
    // Tokens of the requests of higher tiers.
    TokensAhead tokensAbove(units::Tier tier) const;
    // Number of requests of the pool that go before a new one of the tier, whose workspace is over
    // its share or not.
    std::size_t requestsAhead(const units::PoolName &pool, units::Tier tier,
                              bool isOverShare) const;
    // True if requests of workspaces within their share wait in the pool and tier.
    bool hasWithinShare(const units::PoolName &pool, units::Tier tier) const;
    // True if requests of higher tiers wait in the pool.
    bool hasHigherTier(const units::PoolName &pool, units::Tier tier) const;
    // The requests that wait for the same shared part.
    std::vector<PlacementTicket> withSharedPart(const std::string &part) const;
    const Waiting *find(const PlacementTicket &ticket) const;
    bool isEmpty() const { return waiting_.empty(); }
    std::size_t size() const { return waiting_.size(); }

private:
    struct SortKey
    {
        units::Tier tier;
        bool isOverShare = false;
        Arrival arrival = Arrival::FirstTime;
        bool isLate = false; // the target can no longer be met
        units::TimePoint targetAt;
        PlacementTicket ticket;

        friend bool operator<(const SortKey &a, const SortKey &b)
        {
            return std::tie(a.tier, a.isOverShare, a.arrival, a.isLate, a.targetAt, a.ticket)
                < std::tie(b.tier, b.isOverShare, b.arrival, b.isLate, b.targetAt, b.ticket);
        }
    };
    struct Entry
    {
        Waiting waiting;
        SortKey sortKey;
    };
    struct RequestCounts
    {
        std::size_t withinShare = 0;
        std::size_t overShare = 0;
    };
    using TierOfPool = std::pair<std::string, units::Tier>;
    using WorkspaceKey = std::pair<TierOfPool, std::string>;
    using ByExpiry = std::set<std::pair<units::TimePoint, PlacementTicket>>;

    static TierOfPool tierOfPool(const PlacementQuery &query);
    static WorkspaceKey workspaceKey(const PlacementQuery &query);
    // Adds the entry to the order and the counts that depend on its sort key, or removes it.
    void insertInOrder(const Entry &entry);
    void removeFromOrder(const Entry &entry);
    std::int64_t &tokensOf(const SortKey &key);
    std::size_t &countOf(const Entry &entry);

    std::map<PlacementTicket, Entry> waiting_;
    std::set<SortKey> order_;
    std::multimap<std::string, PlacementTicket> byPart_;
    std::map<WorkspaceKey, std::set<PlacementTicket>> byWorkspace_;
    std::array<ByExpiry, 2> byExpiry_; // of workspaces within and over their share
    std::map<TierOfPool, RequestCounts> counts_;
    std::map<std::pair<units::Tier, bool>, TokensAhead> tokens_; // by tier and isOverShare
};

} // namespace monsoongrade::routing::queueing

#endif // MONSOONGRADE_ROUTING_QUEUEING_PREFILLQUEUE_H
