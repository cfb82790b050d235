#include <monsoongrade/routing/performance/prefillrate.h>

#include <algorithm>

namespace monsoongrade::routing::performance {

namespace {

// Decay of a sample's weight with each newer sample, for a window of about 50. Pools have 5 to 100
// samples per second, so the estimate follows a change within some seconds.
constexpr double DecayFactor = 0.98;
// Total weight of samples needed to replace the start value.
constexpr double MinTotalWeight = 8;
// Upper limit of a sample relative to its expected duration, for prefills that waited behind
// another host's or ran on a slow endpoint.
constexpr double MaxTimesExpected = 3;
// Relative standard deviation of the sizes needed to separate the time per token from the fixed
// time.
constexpr double MinRelativeDeviation = 0.3;
// The estimate expires after this time without samples, as the engines may have been replaced.
constexpr auto EstimateLifetime = std::chrono::seconds(60);

} // namespace

void PrefillRate::addSample(std::int64_t tokens, units::Duration took, units::TimePoint now)
{
    if (tokens <= 0)
        return;
    if (now - lastSampleAt_ >= EstimateLifetime)
        *this = {};
    lastSampleAt_ = now;
    const double size = double(tokens);
    double ms = std::chrono::duration<double, std::milli>(took).count();
    if (weight_ >= MinTotalWeight)
        ms = std::min(ms, MaxTimesExpected * expectedMs(size));
    weight_ = weight_ * DecayFactor + 1;
    tokens_ = tokens_ * DecayFactor + size;
    ms_ = ms_ * DecayFactor + ms;
    tokensSquared_ = tokensSquared_ * DecayFactor + size * size;
    tokensTimesMs_ = tokensTimesMs_ * DecayFactor + size * ms;
    if (weight_ < MinTotalWeight)
        return;
    tokensPerMs_ = std::clamp(fitTokensPerMs(), MinTokensPerMs, MaxTokensPerMs);
    fixedMs_ = std::max(0.0, (ms_ - tokens_ / tokensPerMs_) / weight_);
}

double PrefillRate::fitTokensPerMs() const
{
    const double meanTokens = tokens_ / weight_;
    const double meanMs = ms_ / weight_;
    const double variance = tokensSquared_ / weight_ - meanTokens * meanTokens;
    const double covariance = tokensTimesMs_ / weight_ - meanTokens * meanMs;
    const double minDeviation = MinRelativeDeviation * meanTokens;
    if (variance < minDeviation * minDeviation || covariance <= 0)
        return meanTokens / std::max(meanMs - fixedMs_, meanMs / 2);
    return variance / covariance;
}

double PrefillRate::expectedMs(double tokens) const
{
    return fixedMs_ + tokens / tokensPerMs_;
}

double PrefillRate::tokensPerMs(units::TimePoint now) const
{
    return now - lastSampleAt_ >= EstimateLifetime ? InitialTokensPerMs : tokensPerMs_;
}

std::int64_t PrefillRate::tokensIn(units::Duration time, units::TimePoint now) const
{
    return std::int64_t(std::chrono::duration<double, std::milli>(time).count() * tokensPerMs(now));
}

std::optional<PrefillRate::Times>
PrefillRate::expectedTimes(std::int64_t tokens, double relativeSpeed, units::TimePoint now) const
{
    if (weight_ < MinTotalWeight || now - lastSampleAt_ >= EstimateLifetime)
        return std::nullopt;
    const auto inMs = [](double ms) {
        return std::chrono::duration_cast<units::Duration>(
            std::chrono::duration<double, std::milli>(ms));
    };
    return Times{inMs(fixedMs_), inMs(double(tokens) / (tokensPerMs_ * relativeSpeed))};
}

const PrefillRate &PrefillRates::of(const units::PoolName &pool) const
{
    const auto found = pools_.find(pool.value());
    return found == pools_.end() ? initial_ : found->second;
}

void PrefillRates::addSample(const units::PoolName &pool, std::int64_t tokens, units::Duration took,
                             units::TimePoint now)
{
    pools_[pool.value()].addSample(tokens, took, now);
}

} // namespace monsoongrade::routing::performance
