#ifndef MONSOONGRADE_OBSERVABILITY_METRICS_H
#define MONSOONGRADE_OBSERVABILITY_METRICS_H

#include <monsoongrade/observability/latencyhistogram.h>
#include <monsoongrade/units/clock.h>

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace monsoongrade::observability {

// Counters, gauges and histograms by name and labels. Thread-safe.
// Labels are written as in the text exposition format: class="a",reason="b".
class Metrics
{
public:
    void add(const std::string &name, const std::string &labels = {}, std::int64_t amount = 1);
    void set(const std::string &name, const std::string &labels, double value);
    void observe(const std::string &name, const std::string &labels, units::Duration value);

    std::int64_t counter(const std::string &name, const std::string &labels = {}) const;
    std::string exposition() const;

private:
    using Series = std::pair<std::string, std::string>;

    mutable std::mutex mutex_;
    std::map<Series, std::int64_t> counters_;
    std::map<Series, double> gauges_;
    std::map<Series, std::unique_ptr<LatencyHistogram>> histograms_;
};

// key="value" with the value escaped for the exposition format.
std::string label(const std::string &key, const std::string &value);

} // namespace monsoongrade::observability

#endif // MONSOONGRADE_OBSERVABILITY_METRICS_H
