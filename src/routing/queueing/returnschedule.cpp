#include <monsoongrade/routing/queueing/returnschedule.h>

#include <algorithm>

namespace monsoongrade::routing::queueing {

namespace {

// Limits the memory: about 200 bytes each.
constexpr std::size_t MaxReservations = 4096;
// A retry is scheduled if it arrives in this window. The answer gives the time in whole
// milliseconds and timers of callers are inexact; a retry may need a new connection.
constexpr auto MaxEarly = std::chrono::milliseconds(100);
constexpr auto MaxLate = std::chrono::seconds(1);
// Callers honour a retry time of at most this part of the time that they have left.
constexpr int PartOfTimeLeft = 3;
// Time that a retry needs to be of use: 0.3 s to its first event, and 1 s for its stream. The queue
// drops a request that has less.
constexpr auto MinTimeAfterReturn = std::chrono::milliseconds(1300);
// One part in this many of the drain rate is reserved. A request served at its retry is late
// compared with its first attempt, and displaces one that could be on time. With the whole rate
// reserved, a quarter to a half fewer requests of a sustained overload were on time.
constexpr std::int64_t PartsOfDrainRate = 4;

bool isSame(const PlacementTicket &a, const PlacementTicket &b)
{
    return a.number == b.number && a.host == b.host;
}

} // namespace

bool ReturnSchedule::onArrived(const PlacementTicket &ticket, const PlacementQuery &query,
                               units::TimePoint now)
{
    removeExpired(now);
    const auto found = reservations_.find(query.returnKey);
    if (found == reservations_.end() || isSame(found->second.ticket, ticket))
        return false;
    const bool isEarly = now + MaxEarly < found->second.at;
    remove(found);
    return !isEarly;
}

std::optional<units::Duration> ReturnSchedule::reserve(const PlacementTicket &ticket,
                                                       const PlacementQuery &query,
                                                       units::Duration drainsIn,
                                                       units::TimePoint now)
{
    const ReturnKey key = query.returnKey;
    if (key == ReturnKey(0))
        return std::nullopt;
    removeExpired(now);
    const auto earlier = reservations_.find(key);
    if (earlier != reservations_.end()) {
        if (isSame(earlier->second.ticket, ticket))
            return std::max(earlier->second.at - now, units::Duration::zero());
        remove(earlier);
    }
    const bool isUsable = drainsIn <= query.expiresIn / PartOfTimeLeft
        && query.expiresIn - drainsIn >= MinTimeAfterReturn;
    if (!isUsable || reservations_.size() >= MaxReservations)
        return std::nullopt;
    reservations_[key] = {ticket, query.tier, query.ownTokens, now + drainsIn};
    byTime_.emplace(now + drainsIn, key);
    tokens_[query.tier] += query.ownTokens;
    ++counts_.booked;
    return drainsIn;
}

std::int64_t ReturnSchedule::tokensAhead(units::Tier tier) const
{
    std::int64_t ahead = 0;
    for (const auto &[each, tokens] : tokens_) {
        if (tier < each)
            break;
        ahead += tokens;
    }
    return ahead;
}

std::int64_t ReturnSchedule::tokensUntilNext(units::Tier tier) const
{
    return PartsOfDrainRate * tokensAhead(tier);
}

void ReturnSchedule::removeExpired(units::TimePoint now)
{
    while (!byTime_.empty() && byTime_.begin()->first + MaxLate < now) {
        ++counts_.missed;
        remove(reservations_.find(byTime_.begin()->second));
    }
}

void ReturnSchedule::remove(Reservations::iterator reservation)
{
    const Reservation &ended = reservation->second;
    tokens_[ended.tier] -= ended.tokens;
    byTime_.erase({ended.at, reservation->first});
    reservations_.erase(reservation);
}

} // namespace monsoongrade::routing::queueing
