#ifndef MONSOONGRADE_ROUTING_PERFORMANCE_PREFILLSIZES_H
#define MONSOONGRADE_ROUTING_PERFORMANCE_PREFILLSIZES_H

#include <monsoongrade/units/clock.h>

#include <cstdint>
#include <optional>

namespace monsoongrade::routing::performance {

// Mean sizes of the prefills that a pool was given recently, in tokens. Unknown until the first
// prefill, and again after some time without any.
class PrefillSizes
{
public:
    void add(std::int64_t tokens, units::TimePoint now);
    std::optional<double> mean(units::TimePoint now) const;
    // Mean size of the prefill that a token belongs to. The few largest prefills, which take most
    // of the engines' time, determine it.
    std::optional<double> meanByTokens(units::TimePoint now) const;

private:
    bool isKnown(units::TimePoint now) const;

    // Exponentially decaying sums.
    double count_ = 0;
    double tokens_ = 0;
    double tokensSquared_ = 0;
    units::TimePoint lastAddedAt_{};
};

} // namespace monsoongrade::routing::performance

#endif // MONSOONGRADE_ROUTING_PERFORMANCE_PREFILLSIZES_H
