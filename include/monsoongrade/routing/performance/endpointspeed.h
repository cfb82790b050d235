#ifndef MONSOONGRADE_ROUTING_PERFORMANCE_ENDPOINTSPEED_H
#define MONSOONGRADE_ROUTING_PERFORMANCE_ENDPOINTSPEED_H

#include <monsoongrade/units/clock.h>

namespace monsoongrade::routing::performance {

// Estimates the prefill speed of one endpoint relative to its pool. A steady estimate follows
// changes within 10 to 20 s; a second, fast one detects slow periods of a few seconds.
//
// Durations are averaged, not speeds: the rate of the pool is fitted to durations as well, so the
// mean over equal endpoints is 1 in spite of noise.
class EndpointSpeed
{
public:
    static constexpr double MinSpeed = 0.25;
    static constexpr double MaxSpeed = 4;
    // The estimate expires after this time without samples.
    static constexpr auto Lifetime = std::chrono::seconds(60);

    EndpointSpeed() = default;
    // Starts from values that another host has learned.
    EndpointSpeed(double relativeSpeed, int samples, units::TimePoint lastSampleAt);

    // Adds a sample: a prefill took this multiple of the time expected for the pool. weight: 1
    // for prefills of normal length, less for short ones, whose durations are less exact.
    void addSample(double timesExpected, double weight, units::TimePoint now);
    // The steady speed. Exactly 1 while the difference is within the noise of the samples.
    double steady() const;
    // The steady speed, or the momentary one while the endpoint is slow now.
    double effective(units::TimePoint now) const;
    bool isSlowNow(units::TimePoint now) const;
    // The steady estimate as it is, without regard to noise.
    double estimate() const { return 1 / steady_.timesExpected; }
    int samples() const { return samples_; }
    units::TimePoint lastSampleAt() const { return lastSampleAt_; }

private:
    struct Average
    {
        void add(double value, double valueWeight, double oldWeight);

        double timesExpected = 1;
        double weight = 0;
    };

    Average steady_;
    Average fast_;
    int samples_ = 0;
    units::TimePoint lastSampleAt_{};
};

} // namespace monsoongrade::routing::performance

#endif // MONSOONGRADE_ROUTING_PERFORMANCE_ENDPOINTSPEED_H
