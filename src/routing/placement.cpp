#include <monsoongrade/routing/placement.h>

#include <monsoongrade/units/stablehash.h>

#include <algorithm>
#include <limits>

namespace monsoongrade::routing {

namespace {

// A part spreads to this many endpoints before the load decides alone. One endpoint reads cached
// breakdowns at about 40 a second, more than any single subject gets.
constexpr std::size_t RanksTried = 3;
// What an open request costs those beside it, in prompt tokens: it lengthens each step by 0.046 ms,
// about 7 tokens of reading, for some tens of steps.
constexpr double TokensPerOpenRequest = 100;
// An endpoint that fails every request counts as if it were this many times as loaded.
constexpr double FailurePenalty = 20;

bool wasTried(const PlacementQuery &query, const EndpointStatus &endpoint)
{
    return std::find(query.tried.begin(), query.tried.end(), endpoint.described.id)
        != query.tried.end();
}

bool isUsable(const EndpointRoster::Status &endpoint, const PlacementQuery &query)
{
    return endpoint->health.accepts(query.now) && !wasTried(query, *endpoint);
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

// The part that other requests share with this one, or its only part. Empty without parts.
std::string sharedPart(const RequestFacts &facts)
{
    if (facts.promptParts.empty())
        return {};
    const std::size_t parts = facts.promptParts.size();
    return facts.promptParts[parts > 1 ? parts - 2 : 0].id;
}

std::int64_t ownTokens(const RequestFacts &facts)
{
    return facts.promptParts.empty() ? facts.promptTokens.value()
                                     : facts.promptParts.back().tokens.value();
}

double penalty(const EndpointStatus &endpoint, units::TimePoint now)
{
    return endpoint.health.slowness(now) * (1 + FailurePenalty * endpoint.health.failureShare(now));
}

} // namespace

PlacementChoice Placement::choose(const std::vector<EndpointRoster::Status> &available,
                                  const PlacementQuery &query)
{
    if (query.runsModel)
        return chooseForModel(available, query);
    PlacementChoice choice;
    double best = std::numeric_limits<double>::infinity();
    for (const EndpointRoster::Status &endpoint : available) {
        if (!isUsable(endpoint, query) || endpoint->openRequests >= endpoint->described.slots)
            continue;
        const bool isNear = endpoint->described.failureDomain == query.ownDomain;
        const double cost
            = (1 + endpoint->openRequests) * penalty(*endpoint, query.now) + (isNear ? 0 : 0.5);
        if (cost < best) {
            best = cost;
            choice.endpoint = endpoint;
        }
    }
    return choice;
}

PlacementChoice Placement::chooseForModel(const std::vector<EndpointRoster::Status> &available,
                                          const PlacementQuery &query)
{
    const std::string part = sharedPart(query.facts);
    std::vector<std::pair<std::uint64_t, EndpointRoster::Status>> ranked;
    ranked.reserve(available.size());
    for (const EndpointRoster::Status &endpoint : available) {
        if (isUsable(endpoint, query))
            ranked.emplace_back(rankHash(part, *endpoint), endpoint);
    }
    std::sort(ranked.begin(), ranked.end(),
              [](const auto &a, const auto &b) { return a.first > b.first; });
    PlacementChoice choice;
    double best = std::numeric_limits<double>::infinity();
    for (std::size_t rank = 0; rank < std::min(RanksTried, ranked.size()); ++rank) {
        const EndpointRoster::Status &endpoint = ranked[rank].second;
        // The first in rank has the part from the requests of other hosts, if not of this one.
        const bool isCached = rank == 0
            || memory_.knows(part, endpoint->described.id, endpoint->described.incarnation,
                             query.now);
        const std::int64_t toRead
            = isCached ? ownTokens(query.facts) : query.facts.promptTokens.value();
        const double cost = (double(endpoint->tokensToRead + toRead)
                             + endpoint->openRequests * TokensPerOpenRequest)
            * penalty(*endpoint, query.now);
        if (cost < best) {
            best = cost;
            choice = {endpoint, toRead};
        }
    }
    return choice;
}

void Placement::onSent(const EndpointStatus &endpoint, const RequestFacts &facts,
                       units::TimePoint now)
{
    const std::string part = sharedPart(facts);
    if (!part.empty())
        memory_.remember(part, endpoint.described.id, endpoint.described.incarnation, now);
}

} // namespace monsoongrade::routing
