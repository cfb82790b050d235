#ifndef MONSOONGRADE_ROUTING_QUEUEING_SIZEFAIRNESS_H
#define MONSOONGRADE_ROUTING_QUEUEING_SIZEFAIRNESS_H

#include <monsoongrade/units/clock.h>
#include <monsoongrade/units/ids.h>

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace monsoongrade::routing::queueing {

// Measures whether the largest prompts are placed as often as others, and how much precedence short
// prefills may have for that.
//
// In an overload, short prefills that never wait can use up the whole pool, so that the longest
// prompts bear all refusals. How short that is depends on the engines and on the mix of sizes, so
// it is controlled by its effect: while the largest tenth of recent requests is placed clearly less
// often than all of them, the precedence falls, down to none; otherwise it rises again.
class SizeFairness
{
public:
    // The request was placed on an endpoint.
    void onPlaced(std::int64_t promptTokens, units::TimePoint now);
    // The request was refused for want of capacity.
    void onRefused(std::int64_t promptTokens, units::TimePoint now);
    // From 0, where size plays no part, to 1, which is also the start value and the value after
    // some time without requests.
    double shortPrecedence(units::TimePoint now) const;

private:
    // Two buckets per doubling of the size, up to 2^24 tokens.
    static constexpr std::size_t Buckets = 48;
    struct Counts
    {
        double asked = 0;
        double placed = 0;
    };

    void add(std::int64_t promptTokens, double placed, units::TimePoint now);
    void adjust();
    void decay(units::Duration passed);

    std::array<Counts, Buckets> bySize_{};
    double shortPrecedence_ = 1;
    units::TimePoint adjustedAt_{};
    units::TimePoint lastRequestAt_{};
};

// One SizeFairness for each pool and tier: a lower tier is refused before a higher one, whatever
// the sizes of their requests.
class SizeFairnessByTier
{
public:
    SizeFairness &of(const units::PoolName &pool, units::Tier tier);

private:
    std::map<std::pair<std::string, units::Tier>, SizeFairness> fairness_;
};

} // namespace monsoongrade::routing::queueing

#endif // MONSOONGRADE_ROUTING_QUEUEING_SIZEFAIRNESS_H
