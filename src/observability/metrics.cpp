#include <monsoongrade/observability/metrics.h>

#include <sstream>

namespace monsoongrade::observability {

namespace {

template <typename Map>
void writeFamily(std::ostringstream &out, const Map &series, const char *type)
{
    std::string last;
    for (const auto &[key, value] : series) {
        if (key.first != last)
            out << "# TYPE " << key.first << " " << type << "\n";
        last = key.first;
        out << key.first;
        if (!key.second.empty())
            out << "{" << key.second << "}";
        out << " " << value << "\n";
    }
}

} // namespace

void Metrics::add(const std::string &name, const std::string &labels, std::int64_t amount)
{
    const std::lock_guard lock(mutex_);
    counters_[{name, labels}] += amount;
}

void Metrics::set(const std::string &name, const std::string &labels, double value)
{
    const std::lock_guard lock(mutex_);
    gauges_[{name, labels}] = value;
}

void Metrics::observe(const std::string &name, const std::string &labels, units::Duration value)
{
    LatencyHistogram *histogram = nullptr;
    {
        const std::lock_guard lock(mutex_);
        auto &entry = histograms_[{name, labels}];
        if (!entry)
            entry = std::make_unique<LatencyHistogram>();
        histogram = entry.get();
    }
    histogram->add(value);
}

std::int64_t Metrics::counter(const std::string &name, const std::string &labels) const
{
    const std::lock_guard lock(mutex_);
    const auto found = counters_.find({name, labels});
    return found == counters_.end() ? 0 : found->second;
}

std::string Metrics::exposition() const
{
    const std::lock_guard lock(mutex_);
    std::ostringstream out;
    writeFamily(out, counters_, "counter");
    writeFamily(out, gauges_, "gauge");
    std::string last;
    for (const auto &[key, histogram] : histograms_) {
        if (key.first != last)
            out << "# TYPE " << key.first << " histogram\n";
        last = key.first;
        out << histogram->exposition(key.first, key.second);
    }
    return out.str();
}

std::string label(const std::string &key, const std::string &value)
{
    std::string out = key + "=\"";
    for (const char c : value) {
        if (c == '\n') {
            out += "\\n";
            continue;
        }
        if (c == '"' || c == '\\')
            out += '\\';
        out += c;
    }
    return out + '"';
}

} // namespace monsoongrade::observability
