#ifndef MONSOONGRADE_ROUTING_PERFORMANCE_PREFILLRATE_H
#define MONSOONGRADE_ROUTING_PERFORMANCE_PREFILLRATE_H

#include <monsoongrade/units/clock.h>
#include <monsoongrade/units/ids.h>

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

namespace monsoongrade::routing::performance {

// Estimates how many prompt tokens the engines of a pool prefill in a millisecond, from the
// durations of single prefills. Known pools reach 66 and 157; a limit in tokens that suits one is
// wrong by a factor of two or more for the other, so limits are times and are converted here.
//
// A prefill takes a fixed time (network, the steps of the first event) and a time per token. Both
// are fitted to recent prefills by least squares, so that short ones do not make engines look slow.
// The influence of failing endpoints is bounded: one prefill counts as at most MaxTimesExpected
// times its expected duration, the result stays between MinTokensPerMs and MaxTokensPerMs, and
// after some time without prefills the start value applies again.
class PrefillRate
{
public:
    // Used until there are enough samples. Between the rates of the two known pools.
    static constexpr double InitialTokensPerMs = 100;
    // A chunk of 4,096 tokens takes 2 ms to 1 s; engines outside of this range are not expected.
    static constexpr double MinTokensPerMs = 4;
    static constexpr double MaxTokensPerMs = 2000;

    // Adds a sample: the time from placing a request on an endpoint without other prefills to its
    // first event.
    void addSample(std::int64_t tokens, units::Duration took, units::TimePoint now);
    double tokensPerMs(units::TimePoint now) const;
    // Tokens that an engine prefills in the given time.
    std::int64_t tokensIn(units::Duration time, units::TimePoint now) const;
    // Times of a prefill. Empty until there are enough samples.
    struct Times
    {
        units::Duration fixed{};
        units::Duration perTokens{}; // grows with the number of tokens

        units::Duration total() const { return fixed + perTokens; }
    };
    // relativeSpeed: of the endpoint; the fixed time does not depend on it.
    std::optional<Times> expectedTimes(std::int64_t tokens, double relativeSpeed,
                                       units::TimePoint now) const;

private:
    double fitTokensPerMs() const;
    double expectedMs(double tokens) const;

    // Exponentially decaying sums over the samples.
    double weight_ = 0;
    double tokens_ = 0;
    double ms_ = 0;
    double tokensSquared_ = 0;
    double tokensTimesMs_ = 0;
    double tokensPerMs_ = InitialTokensPerMs;
    double fixedMs_ = 0;
    units::TimePoint lastSampleAt_{};
};

class PrefillRates
{
public:
    // Returns the start value for a pool without samples.
    const PrefillRate &of(const units::PoolName &pool) const;
    void addSample(const units::PoolName &pool, std::int64_t tokens, units::Duration took,
                   units::TimePoint now);

private:
    PrefillRate initial_;
    std::unordered_map<std::string, PrefillRate> pools_;
};

} // namespace monsoongrade::routing::performance

#endif // MONSOONGRADE_ROUTING_PERFORMANCE_PREFILLRATE_H
