#include <monsoongrade/routing/queueing/sizefairness.h>

#include <monsoongrade/units/halflife.h>

#include <algorithm>

namespace monsoongrade::routing::queueing {

namespace {

constexpr auto AdjustmentInterval = std::chrono::milliseconds(100);
// Half-life of the counts. Bursts last some seconds.
constexpr std::chrono::duration<double> HalfLife = std::chrono::seconds(2);
// The estimate expires after this time without requests.
constexpr auto EstimateLifetime = std::chrono::seconds(60);
constexpr double LargestShare = 0.1;
// Requests of the largest tenth that are needed for an estimate.
constexpr double MinLargest = 4;
// The largest tenth shall be placed at least half as often as all requests. The precedence falls
// below the first ratio and rises above the second, which leaves time to react.
constexpr double FallBelow = 0.6;
constexpr double RiseAbove = 0.7;
// Factors per adjustment: from full precedence to a tenth within a second, and back within four.
constexpr double FallFactor = 0.8;
constexpr double RiseStep = 0.025;

} // namespace

void SizeFairness::onPlaced(std::int64_t promptTokens, units::TimePoint now)
{
    add(promptTokens, 1, now);
}

void SizeFairness::onRefused(std::int64_t promptTokens, units::TimePoint now)
{
    add(promptTokens, 0, now);
}

double SizeFairness::shortPrecedence(units::TimePoint now) const
{
    return now - lastRequestAt_ >= EstimateLifetime ? 1 : shortPrecedence_;
}

void SizeFairness::add(std::int64_t promptTokens, double placed, units::TimePoint now)
{
    if (now - lastRequestAt_ >= EstimateLifetime)
        *this = {};
    lastRequestAt_ = now;
    const double doublings = std::log2(double(std::max<std::int64_t>(promptTokens, 1)));
    Counts &counts = bySize_[std::min(std::size_t(doublings * 2), Buckets - 1)];
    counts.asked += 1;
    counts.placed += placed;
    if (now - adjustedAt_ < AdjustmentInterval)
        return;
    adjust();
    decay(now - adjustedAt_);
    adjustedAt_ = now;
}

void SizeFairness::adjust()
{
    Counts all;
    for (const Counts &counts : bySize_) {
        all.asked += counts.asked;
        all.placed += counts.placed;
    }
    Counts largest;
    for (auto counts = bySize_.rbegin(); counts != bySize_.rend(); ++counts) {
        const double missing = LargestShare * all.asked - largest.asked;
        if (missing <= 0)
            break;
        // Only a part of the last bucket belongs to the largest tenth.
        const double part = counts->asked > missing ? missing / counts->asked : 1;
        largest.asked += part * counts->asked;
        largest.placed += part * counts->placed;
    }
    if (largest.asked < MinLargest || all.placed == 0)
        return;
    const double ratio = (largest.placed / largest.asked) / (all.placed / all.asked);
    if (ratio < FallBelow)
        shortPrecedence_ *= FallFactor;
    else if (ratio > RiseAbove)
        shortPrecedence_ = std::min(shortPrecedence_ + RiseStep, 1.0);
}

void SizeFairness::decay(units::Duration passed)
{
    const double factor = units::shareLeft(passed, HalfLife);
    for (Counts &counts : bySize_) {
        counts.asked *= factor;
        counts.placed *= factor;
    }
}

SizeFairness &SizeFairnessByTier::of(const units::PoolName &pool, units::Tier tier)
{
    return fairness_[{pool.value(), tier}];
}

} // namespace monsoongrade::routing::queueing
