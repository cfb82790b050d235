#include <monsoongrade/observability/latencyhistogram.h>

#include <boost/histogram.hpp>

#include <mutex>
#include <sstream>

namespace monsoongrade::observability {

namespace {

using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;

constexpr unsigned Buckets = 70;
constexpr double MinSeconds = 1e-4;
constexpr double MaxSeconds = 1e3;

auto makeHistogram()
{
    return boost::histogram::make_histogram(Axis(Buckets, MinSeconds, MaxSeconds));
}

} // namespace

class LatencyHistogram::Impl
{
public:
    mutable std::mutex mutex;
    decltype(makeHistogram()) histogram = makeHistogram();
    std::uint64_t count = 0;
    double sum = 0;
};

LatencyHistogram::LatencyHistogram()
    : impl_(std::make_unique<Impl>())
{
}

LatencyHistogram::~LatencyHistogram() = default;

void LatencyHistogram::add(units::Duration value)
{
    const double seconds = std::chrono::duration<double>(value).count();
    const std::lock_guard lock(impl_->mutex);
    impl_->histogram(seconds);
    impl_->sum += seconds;
    ++impl_->count;
}

std::uint64_t LatencyHistogram::count() const
{
    const std::lock_guard lock(impl_->mutex);
    return impl_->count;
}

double LatencyHistogram::quantile(double share) const
{
    const std::lock_guard lock(impl_->mutex);
    const double wanted = share * static_cast<double>(impl_->count);
    double seen = 0;
    for (int i = -1; i <= static_cast<int>(Buckets); ++i) {
        seen += impl_->histogram.at(i);
        if (seen >= wanted)
            return i < 0 ? MinSeconds : impl_->histogram.axis().bin(i).upper();
    }
    return MaxSeconds;
}

std::string LatencyHistogram::exposition(const std::string &name, const std::string &labels) const
{
    const std::lock_guard lock(impl_->mutex);
    std::ostringstream out;
    const std::string comma = labels.empty() ? "" : ",";
    double seen = impl_->histogram.at(-1);
    for (int i = 0; i < static_cast<int>(Buckets); ++i) {
        seen += impl_->histogram.at(i);
        out << name << "_bucket{" << labels << comma << "le=\""
            << impl_->histogram.axis().bin(i).upper() << "\"} " << seen << "\n";
    }
    out << name << "_bucket{" << labels << comma << "le=\"+Inf\"} " << impl_->count << "\n";
    out << name << "_sum{" << labels << "} " << impl_->sum << "\n";
    out << name << "_count{" << labels << "} " << impl_->count << "\n";
    return out.str();
}

} // namespace monsoongrade::observability
