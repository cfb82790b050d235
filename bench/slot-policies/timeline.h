#ifndef MONSOONGRADE_BENCH_TIMELINE_H
#define MONSOONGRADE_BENCH_TIMELINE_H

#include <monsoongrade/units/manualclock.h>

#include <cmath>
#include <functional>
#include <map>

namespace monsoongrade::bench {

// Simulated time in steps of ten milliseconds, and what is due at which moment.
class Timeline
{
public:
    static constexpr double StepSeconds = 0.01;

    const units::Clock &clock() const { return clock_; }
    double seconds() const { return static_cast<double>(steps_) * StepSeconds; }

    void after(double seconds, std::function<void()> what)
    {
        const auto steps = std::llround(seconds / StepSeconds);
        due_.emplace(steps_ + (steps > 0 ? steps : 1), std::move(what));
    }

    void step()
    {
        ++steps_;
        clock_.advance(std::chrono::milliseconds(10));
        while (!due_.empty() && due_.begin()->first <= steps_) {
            const std::function<void()> what = std::move(due_.begin()->second);
            due_.erase(due_.begin());
            what();
        }
    }

private:
    units::ManualClock clock_;
    std::int64_t steps_ = 0;
    std::multimap<std::int64_t, std::function<void()>> due_;
};

} // namespace monsoongrade::bench

#endif // MONSOONGRADE_BENCH_TIMELINE_H
