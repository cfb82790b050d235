#ifndef MONSOONGRADE_ROUTING_QUEUEING_RETURNSCHEDULE_H
#define MONSOONGRADE_ROUTING_QUEUEING_RETURNSCHEDULE_H

#include <monsoongrade/routing/placementquery.h>
#include <monsoongrade/routing/placementticket.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

namespace monsoongrade::routing::queueing {

// Reserves capacity for refused requests at the time at which they are told to retry. Without it,
// the callers refused in an overload retry together and are refused again.
//
// The schedule is kept at the placement coordinator only. If it is lost, scheduled retries are
// treated as first-time requests.
class ReturnSchedule
{
public:
    // Events since the last call of takeCounts().
    struct Counts
    {
        std::int64_t booked = 0; // reservations made
        std::int64_t served = 0; // scheduled retries placed on an endpoint
        std::int64_t refused = 0; // scheduled retries refused again, also after queueing
        std::int64_t missed = 0; // reservations whose request did not return within the window
    };

    // Ends the reservation of an arriving request. Returns true if the request is a scheduled
    // retry. A repeated query of the refused attempt itself ends nothing.
    bool onArrived(const PlacementTicket &ticket, const PlacementQuery &query,
                   units::TimePoint now);
    // Reserves capacity for a refused request, if its caller can use it, and returns the time until
    // its retry. Reserves only for its own tokens: the shared part is usually cached by then.
    // drainsIn: when everything queued or reserved ahead of it has drained. A repeated query of the
    // same attempt gets the same reservation.
    std::optional<units::Duration> reserve(const PlacementTicket &ticket,
                                           const PlacementQuery &query, units::Duration drainsIn,
                                           units::TimePoint now);
    // Tokens reserved for requests of the tier and of higher ones.
    std::int64_t tokensAhead(units::Tier tier) const;
    // Tokens that drain at the rate of the queue until a further reservation of the tier can be
    // served: reservations get a part of the rate.
    std::int64_t tokensUntilNext(units::Tier tier) const;
    std::size_t size() const { return reservations_.size(); }

    void onServed() { ++counts_.served; }
    void onRefused() { ++counts_.refused; }
    Counts takeCounts() { return std::exchange(counts_, {}); }

private:
    struct Reservation
    {
        PlacementTicket ticket; // of the refused attempt
        units::Tier tier;
        std::int64_t tokens = 0;
        units::TimePoint at;
    };
    using Reservations = std::unordered_map<ReturnKey, Reservation>;

    void removeExpired(units::TimePoint now);
    void remove(Reservations::iterator reservation);

    Reservations reservations_;
    std::set<std::pair<units::TimePoint, ReturnKey>> byTime_;
    std::map<units::Tier, std::int64_t> tokens_;
    Counts counts_;
};

} // namespace monsoongrade::routing::queueing

#endif // MONSOONGRADE_ROUTING_QUEUEING_RETURNSCHEDULE_H
