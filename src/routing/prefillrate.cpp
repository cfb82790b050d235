#include <monsoongrade/routing/prefillrate.h>

#include <algorithm>

namespace monsoongrade::routing {

namespace {

// Weight that a read keeps with each newer one: about the last 50 count. Pools have 5 to 100 such
// reads a second, so a change of speed is learned within some seconds.
constexpr double KeptWeight = 0.98;
// Reads needed before the start value is given up.
constexpr double MinWeight = 8;
// A read that waited behind another host's, or on a slow endpoint, counts as at most this many
// times as long as expected.
constexpr double MaxTimesExpected = 3;
// The sizes of the reads must differ by this share of their mean, or the time for each token can't
// be told from the fixed time.
constexpr double MinSpread = 0.3;
// What is known of engines without any read; they may have been replaced by others.
constexpr auto MaxAge = std::chrono::seconds(60);

} // namespace

void PrefillRate::onRead(std::int64_t tokens, units::Duration took, units::TimePoint now)
{
    if (tokens <= 0)
        return;
    if (now - lastAt_ >= MaxAge)
        *this = {};
    lastAt_ = now;
    const double size = double(tokens);
    double ms = std::chrono::duration<double, std::milli>(took).count();
    if (weight_ >= MinWeight)
        ms = std::min(ms, MaxTimesExpected * expectedMs(size));
    weight_ = weight_ * KeptWeight + 1;
    tokens_ = tokens_ * KeptWeight + size;
    ms_ = ms_ * KeptWeight + ms;
    tokensSquared_ = tokensSquared_ * KeptWeight + size * size;
    tokensTimesMs_ = tokensTimesMs_ * KeptWeight + size * ms;
    if (weight_ < MinWeight)
        return;
    tokensPerMs_ = std::clamp(fitted(), MinTokensPerMs, MaxTokensPerMs);
    fixedMs_ = std::max(0.0, (ms_ - tokens_ / tokensPerMs_) / weight_);
}

double PrefillRate::fitted() const
{
    const double meanTokens = tokens_ / weight_;
    const double meanMs = ms_ / weight_;
    const double variance = tokensSquared_ / weight_ - meanTokens * meanTokens;
    const double covariance = tokensTimesMs_ / weight_ - meanTokens * meanMs;
    const double minDeviation = MinSpread * meanTokens;
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
    return now - lastAt_ >= MaxAge ? StartTokensPerMs : tokensPerMs_;
}

std::int64_t PrefillRate::tokensIn(units::Duration time, units::TimePoint now) const
{
    return std::int64_t(std::chrono::duration<double, std::milli>(time).count() * tokensPerMs(now));
}

const PrefillRate &PrefillRates::of(const units::PoolName &pool) const
{
    const auto found = pools_.find(pool.value());
    return found == pools_.end() ? unknown_ : found->second;
}

void PrefillRates::onRead(const units::PoolName &pool, std::int64_t tokens, units::Duration took,
                          units::TimePoint now)
{
    pools_[pool.value()].onRead(tokens, took, now);
}

} // namespace monsoongrade::routing
