#include <monsoongrade/routing/placementdesk.h>

#include <monsoongrade/units/stablehash.h>

#include <algorithm>
#include <limits>
#include <tuple>

namespace monsoongrade::routing {

namespace {

// What an open request costs those beside it, in prompt tokens: it lengthens each step by 0.046 ms,
// about 7 tokens of reading, for some tens of steps.
constexpr double TokensPerOpenRequest = 100;
constexpr double ReadAgainWeight = 5;
constexpr double DetourWeight = 3;
// Engines read about 157 tokens a millisecond. Below 6,000 tokens, 40 ms, a read disturbs little.
constexpr std::int64_t AssumedTokensPerMs = 150;
constexpr std::int64_t LongReadTokens = 6000;
// An endpoint takes no further long read while this much, 150 ms, would wait there: a short
// request with a target of 250 ms still finds its way, and the endpoint does not run dry in the
// 5 ms that the next placement takes.
constexpr std::int64_t MaxTokensWithLongRead = 24000;
// An endpoint that fails every request counts as if it were this many times as loaded.
constexpr double FailurePenalty = 20;
// News of an end may be lost with its datagram or its host. Streams last about a second, the
// longest allowed ones 10 s; reading a prompt takes below a second except in an overload.
constexpr auto MaxOpenTime = std::chrono::seconds(12);
constexpr auto MaxReadTime = std::chrono::seconds(3);
constexpr auto CleaningInterval = std::chrono::milliseconds(250);

bool isUsable(const EndpointRoster::Status &endpoint, const PlacementQuery &query,
              units::TimePoint now)
{
    const bool wasTried = std::find(query.tried.begin(), query.tried.end(), endpoint->described.id)
        != query.tried.end();
    return !wasTried && !endpoint->leaving && endpoint->health.accepts(now);
}

// Mixes the high and low bits: FNV-1a alone lets the last bytes reach the high bits only weakly,
// and rendezvous hashing compares high bits.
std::uint64_t mixed(std::uint64_t hash)
{
    hash ^= hash >> 33;
    hash *= 0xff51afd7ed558ccdULL;
    hash ^= hash >> 33;
    return hash;
}

std::uint64_t rankHash(const std::string &part, const EndpointStatus &endpoint)
{
    units::StableHash hash;
    hash.add(part);
    hash.add(endpoint.described.id.value());
    return mixed(hash.value());
}

double penalty(const EndpointStatus &endpoint, units::TimePoint now)
{
    return endpoint.health.slowness(now) * (1 + FailurePenalty * endpoint.health.failureShare(now));
}

} // namespace

PlacementChoice PlacementDesk::place(const PlacementTicket &ticket, const PlacementQuery &query,
                                     const std::vector<EndpointRoster::Status> &available,
                                     units::TimePoint now)
{
    forgetOld(now);
    PlacementChoice choice = query.runsModel ? chooseForModel(query, available, now)
                                             : chooseForPlain(query, available, now);
    if (choice.isWaiting && query.mayWait) {
        waiting_[ticket] = {query, now + query.targetIn, now + query.givenUpIn};
        return choice;
    }
    return commit(ticket, query, std::move(choice), now);
}

PlacementChoice PlacementDesk::commit(const PlacementTicket &ticket, const PlacementQuery &query,
                                      PlacementChoice choice, units::TimePoint now)
{
    choice.isWaiting = false;
    hear(ticket, PlacementNews::Withdrawn, now); // a repeated ask replaces the earlier one
    if (choice.endpoint == nullptr)
        return choice;
    placed_[ticket] = {choice.endpoint, choice.tokensToRead, now};
    Load &load = loads_[choice.endpoint.get()];
    ++load.openRequests;
    load.tokensToRead += choice.tokensToRead;
    if (query.runsModel && !query.sharedPart.empty()) {
        const DiscoveredEndpoint &endpoint = choice.endpoint->described;
        if (memory_.remember(query.sharedPart, endpoint.id, endpoint.incarnation, now))
            newParts_.push_back({query.sharedPart, endpoint.id, endpoint.incarnation});
    }
    return choice;
}

std::vector<std::pair<PlacementTicket, PlacementChoice>>
PlacementDesk::placeWaiting(const EndpointRoster &roster, units::TimePoint now)
{
    std::vector<std::pair<PlacementTicket, PlacementChoice>> placed;
    for (const PlacementTicket &ticket : waitingInOrder(now)) {
        const Waiting waiting = waiting_[ticket];
        if (now >= waiting.givenUpAt) {
            waiting_.erase(ticket);
            continue;
        }
        PlacementChoice choice
            = chooseForModel(waiting.query, roster.available(waiting.query.pool), now);
        if (choice.isWaiting)
            continue;
        placed.emplace_back(ticket, commit(ticket, waiting.query, std::move(choice), now));
    }
    return placed;
}

std::vector<PlacementTicket> PlacementDesk::waitingInOrder(units::TimePoint now) const
{
    struct Rank
    {
        units::Tier tier;
        bool isLate;
        units::TimePoint targetAt;
        PlacementTicket ticket;

        bool operator<(const Rank &other) const
        {
            return std::tie(tier, isLate, targetAt, ticket)
                < std::tie(other.tier, other.isLate, other.targetAt, other.ticket);
        }
    };
    std::vector<Rank> ranks;
    ranks.reserve(waiting_.size());
    for (const auto &[ticket, waiting] : waiting_) {
        const auto readTime
            = std::chrono::milliseconds(waiting.query.promptTokens / AssumedTokensPerMs);
        ranks.push_back(
            {waiting.query.tier, now + readTime > waiting.targetAt, waiting.targetAt, ticket});
    }
    std::sort(ranks.begin(), ranks.end());
    std::vector<PlacementTicket> tickets;
    tickets.reserve(ranks.size());
    for (const Rank &rank : ranks)
        tickets.push_back(rank.ticket);
    return tickets;
}

PlacementChoice PlacementDesk::chooseForModel(const PlacementQuery &query,
                                              const std::vector<EndpointRoster::Status> &available,
                                              units::TimePoint now) const
{
    PlacementChoice choice;
    double best = std::numeric_limits<double>::infinity();
    const std::int64_t shared = query.promptTokens - query.ownTokens;
    const EndpointStatus *first = firstByHash(query, available, now);
    const bool isKnownSomewhere
        = std::any_of(available.begin(), available.end(), [&](const auto &endpoint) {
              return isUsable(endpoint, query, now) && knows(query, *endpoint, now);
          });
    for (const EndpointRoster::Status &endpoint : available) {
        if (!isUsable(endpoint, query, now))
            continue;
        const std::int64_t again = knows(query, *endpoint, now) ? 0 : shared;
        const std::int64_t toRead = query.ownTokens + again;
        const Load load = loadOf(*endpoint);
        // What a choice other than that of all hosts may cost later: a host that decides alone, or
        // takes over, looks for the part on the first endpoint by hash.
        const double detour = isKnownSomewhere ? double(again) * ReadAgainWeight
            : endpoint.get() == first          ? 0.0
                                               : double(shared) * DetourWeight;
        const double cost = (double(load.tokensToRead + toRead) + detour
                             + load.openRequests * TokensPerOpenRequest)
            * penalty(*endpoint, now);
        if (cost < best) {
            best = cost;
            choice = {endpoint, toRead};
            choice.isWaiting = toRead > LongReadTokens && load.tokensToRead > 0
                && load.tokensToRead + toRead > MaxTokensWithLongRead;
        }
    }
    return choice;
}

const EndpointStatus *
PlacementDesk::firstByHash(const PlacementQuery &query,
                           const std::vector<EndpointRoster::Status> &available,
                           units::TimePoint now)
{
    const EndpointStatus *first = nullptr;
    std::uint64_t firstHash = 0;
    for (const EndpointRoster::Status &endpoint : available) {
        const std::uint64_t hash = rankHash(query.sharedPart, *endpoint);
        if (isUsable(endpoint, query, now) && (first == nullptr || hash > firstHash)) {
            first = endpoint.get();
            firstHash = hash;
        }
    }
    return first;
}

bool PlacementDesk::knows(const PlacementQuery &query, const EndpointStatus &endpoint,
                          units::TimePoint now) const
{
    return memory_.knows(query.sharedPart, endpoint.described.id, endpoint.described.incarnation,
                         now);
}

PlacementChoice PlacementDesk::chooseForPlain(const PlacementQuery &query,
                                              const std::vector<EndpointRoster::Status> &available,
                                              units::TimePoint now) const
{
    PlacementChoice choice;
    double best = std::numeric_limits<double>::infinity();
    for (const EndpointRoster::Status &endpoint : available) {
        const Load load = loadOf(*endpoint);
        if (!isUsable(endpoint, query, now) || load.openRequests >= endpoint->described.slots)
            continue;
        const bool isNear = endpoint->described.failureDomain == query.askersDomain;
        const double cost = (1 + load.openRequests) * penalty(*endpoint, now) + (isNear ? 0 : 0.5);
        if (cost < best) {
            best = cost;
            choice.endpoint = endpoint;
        }
    }
    return choice;
}

void PlacementDesk::hear(const PlacementTicket &ticket, PlacementNews news, units::TimePoint now)
{
    waiting_.erase(ticket);
    const auto found = placed_.find(ticket);
    if (found == placed_.end())
        return;
    Placed &placed = found->second;
    switch (news) {
    case PlacementNews::FirstEvent:
        loads_[placed.endpoint.get()].lastResultAt = now;
        unload(placed, false);
        placed.tokensToRead = 0;
        return;
    case PlacementNews::EndpointSilent:
        noteSilence(placed, now);
        return;
    case PlacementNews::Completed:
        loads_[placed.endpoint.get()].lastResultAt = now;
        break;
    case PlacementNews::EndpointFailed:
        placed.endpoint->health.onFailure(now);
        break;
    case PlacementNews::Withdrawn:
        break;
    }
    unload(placed, true);
    placed_.erase(found);
}

void PlacementDesk::noteSilence(const Placed &placed, units::TimePoint now)
{
    if (loadOf(*placed.endpoint).lastResultAt < placed.at)
        placed.endpoint->health.onSilence(now);
}

bool PlacementDesk::hasEndpoint(const PlacementQuery &query,
                                const std::vector<EndpointRoster::Status> &available,
                                units::TimePoint now) const
{
    return std::any_of(available.begin(), available.end(),
                       [&](const auto &endpoint) { return isUsable(endpoint, query, now); });
}

void PlacementDesk::learn(const CachedPart &part, units::TimePoint now)
{
    memory_.remember(part.part, part.endpoint, part.incarnation, now);
}

int PlacementDesk::openRequests(const EndpointStatus &endpoint) const
{
    return loadOf(endpoint).openRequests;
}

std::int64_t PlacementDesk::tokensToRead(const EndpointStatus &endpoint) const
{
    return loadOf(endpoint).tokensToRead;
}

PlacementDesk::Load PlacementDesk::loadOf(const EndpointStatus &endpoint) const
{
    const auto found = loads_.find(&endpoint);
    return found == loads_.end() ? Load{} : found->second;
}

void PlacementDesk::unload(const Placed &placed, bool isEnd)
{
    const auto found = loads_.find(placed.endpoint.get());
    if (found == loads_.end())
        return;
    found->second.tokensToRead -= placed.tokensToRead;
    if (!isEnd)
        return;
    if (--found->second.openRequests <= 0)
        loads_.erase(found);
}

void PlacementDesk::forgetOld(units::TimePoint now)
{
    if (now < nextCleaning_)
        return;
    nextCleaning_ = now + CleaningInterval;
    for (auto entry = placed_.begin(); entry != placed_.end();) {
        Placed &placed = entry->second;
        if (now - placed.at >= MaxOpenTime) {
            unload(placed, true);
            entry = placed_.erase(entry);
            continue;
        }
        if (placed.tokensToRead > 0 && now - placed.at >= MaxReadTime) {
            unload(placed, false);
            placed.tokensToRead = 0;
        }
        ++entry;
    }
}

} // namespace monsoongrade::routing
