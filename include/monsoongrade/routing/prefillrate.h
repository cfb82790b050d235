#ifndef MONSOONGRADE_ROUTING_PREFILLRATE_H
#define MONSOONGRADE_ROUTING_PREFILLRATE_H

#include <monsoongrade/units/clock.h>
#include <monsoongrade/units/ids.h>

#include <cstdint>
#include <string>
#include <unordered_map>

namespace monsoongrade::routing {

// Learns how many prompt tokens the engines of a pool read in a millisecond, from the times that
// single reads took. The pools known read 66 and 157; a limit in tokens that suits one is wrong by
// a factor of two or more for the other, so limits are times and become tokens here.
//
// A read takes a fixed time (network, the steps of the first event) and a time for each token. Both
// are fitted to the recent reads by least squares, so that short reads do not make engines look
// slow. Failing endpoints can mislead it only so far: one read counts as at most MaxTimesExpected
// as long as expected, the result stays between MinTokensPerMs and MaxTokensPerMs, and without
// reads for a while the start value holds again.
class PrefillRate
{
public:
    // Before enough is known. Between the two pools known.
    static constexpr double StartTokensPerMs = 100;
    // Prompt chunks between 2 ms and 1 s for 4,096 tokens; engines are not expected beyond.
    static constexpr double MinTokensPerMs = 4;
    static constexpr double MaxTokensPerMs = 2000;

    // A request had its first event this long after it was placed on an endpoint that had nothing
    // else to read.
    void onRead(std::int64_t tokens, units::Duration took, units::TimePoint now);
    double tokensPerMs(units::TimePoint now) const;
    // What an engine reads in the time.
    std::int64_t tokensIn(units::Duration time, units::TimePoint now) const;

private:
    double fitted() const;
    double expectedMs(double tokens) const;

    // Sums over the reads, in which older ones weigh less.
    double weight_ = 0;
    double tokens_ = 0;
    double ms_ = 0;
    double tokensSquared_ = 0;
    double tokensTimesMs_ = 0;
    double tokensPerMs_ = StartTokensPerMs;
    double fixedMs_ = 0;
    units::TimePoint lastAt_{};
};

// The read speeds of all pools.
class PrefillRates
{
public:
    // The start value for a pool of which nothing is known.
    const PrefillRate &of(const units::PoolName &pool) const;
    void onRead(const units::PoolName &pool, std::int64_t tokens, units::Duration took,
                units::TimePoint now);

private:
    PrefillRate unknown_;
    std::unordered_map<std::string, PrefillRate> pools_;
};

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_PREFILLRATE_H
