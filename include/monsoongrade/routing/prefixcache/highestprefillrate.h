#ifndef MONSOONGRADE_ROUTING_PREFIXCACHE_HIGHESTPREFILLRATE_H
#define MONSOONGRADE_ROUTING_PREFIXCACHE_HIGHESTPREFILLRATE_H

#include <monsoongrade/routing/performance/prefillrate.h>
#include <monsoongrade/units/clock.h>

#include <cstdint>

namespace monsoongrade::routing::prefixcache {

// The highest rate at which a pool has prefilled about ten prompts in the last 10 to 20 minutes.
// The fitted rate of PrefillRate is off by a factor of two in either direction in an overload:
// prompts wait at the endpoints, and prefixes that are assumed to be cached were evicted. Copies
// evict more of them, so whether a pool copies must not depend on that. Tokens divided by the time
// to the first event are never above the rate of the engines.
class HighestPrefillRate
{
public:
    // The time from placing a request on an endpoint without other prefills to its first event.
    void addSample(std::int64_t tokens, units::Duration took, units::TimePoint now);
    // The start value of PrefillRate counts as measured in the first period: an overload may last
    // since the start, and engines that read fast would look slow enough for copies.
    double tokensPerMs() const;

private:
    // Exponentially decaying sums over the samples.
    double weight_ = 0;
    double tokens_ = 0;
    double ms_ = 0;
    double highest_ = performance::PrefillRate::InitialTokensPerMs; // since periodStart_
    double previous_ = 0; // in the period before
    units::TimePoint periodStart_{};
};

} // namespace monsoongrade::routing::prefixcache

#endif // MONSOONGRADE_ROUTING_PREFIXCACHE_HIGHESTPREFILLRATE_H
