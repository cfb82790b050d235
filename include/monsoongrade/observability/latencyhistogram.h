#ifndef MONSOONGRADE_OBSERVABILITY_LATENCYHISTOGRAM_H
#define MONSOONGRADE_OBSERVABILITY_LATENCYHISTOGRAM_H

#include <monsoongrade/units/clock.h>

#include <memory>
#include <string>

namespace monsoongrade::observability {

// Times from 0.1 ms to 1000 s in buckets of equal ratio. Thread-safe.
class LatencyHistogram
{
public:
    LatencyHistogram();
    ~LatencyHistogram();

    void add(units::Duration value);
    std::uint64_t count() const;
    // Upper edge of the bucket that holds the given share (0 to 1) of the values, in seconds.
    double quantile(double share) const;
    // Lines of the text exposition format: _bucket, _sum and _count.
    std::string exposition(const std::string &name, const std::string &labels) const;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace monsoongrade::observability

#endif // MONSOONGRADE_OBSERVABILITY_LATENCYHISTOGRAM_H
