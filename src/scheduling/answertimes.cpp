#include <monsoongrade/scheduling/answertimes.h>

#include <algorithm>

namespace monsoongrade::scheduling {

namespace {

constexpr double Smoothing = 0.1;

} // namespace

void AnswerTimes::learn(const units::ClassName &className, units::Duration time)
{
    const double sample = std::max(0.0, std::chrono::duration<double>(time).count());
    double &mean = seconds_.emplace(className, sample).first->second;
    mean += Smoothing * (sample - mean);
}

units::Duration AnswerTimes::mean(const units::ClassName &className) const
{
    const auto found = seconds_.find(className);
    if (found == seconds_.end())
        return {};
    return std::chrono::duration_cast<units::Duration>(
        std::chrono::duration<double>(found->second));
}

} // namespace monsoongrade::scheduling
