#include <monsoongrade/routing/performance/endpointspeed.h>

#include <monsoongrade/units/halflife.h>

#include <algorithm>
#include <cmath>

namespace monsoongrade::routing::performance {

namespace {

// Samples whose plain mean is the first estimate. Fewer differ by more than the threshold of
// SteadyTolerance by noise alone.
constexpr int PlainMeanSamples = 8;
// Samples that are used at any value: an endpoint of four times the pool's speed would otherwise
// need several samples to be recognized.
constexpr int UncappedSamples = 2;
// One sample counts as at most this factor above or below the estimate.
constexpr double MaxFactorOfSample = 2;
constexpr std::chrono::duration<double> SteadyHalfLife = std::chrono::seconds(10);
// Slow periods last a few seconds and have to be noticed within the first.
constexpr std::chrono::duration<double> FastHalfLife = std::chrono::seconds(1);
// One sample counts for at most half of the fast estimate, so that it can't make an endpoint slow.
constexpr double MinFastWeight = 1;
// The endpoint is slow now below this share of its steady speed. Slow periods are slower by a
// factor of 2 to 4, and 1/0.6 is several times the noise of the fast estimate.
constexpr double SlowShare = 0.6;
// An endpoint that is avoided as slow gets no samples, so the slow period is assumed to be over
// after this time. Typical ones last 2 to 5 s.
constexpr auto SlowLifetime = std::chrono::seconds(3);
// Differences below this count as none, so that pools of equal endpoints are placed as if no
// speeds were learned.
constexpr double SteadyTolerance = 0.1;
// Assumed relative standard deviation of a sample, from the times of event transport and engine
// steps. Differences below two standard errors count as none as well.
constexpr double SampleDeviation = 0.25;
// Weight of an estimate received from another host, enough for the tolerance of 10%.
constexpr int MaxReceivedWeight = 32;

double limited(double timesExpected)
{
    return std::clamp(timesExpected, 1 / EndpointSpeed::MaxSpeed, 1 / EndpointSpeed::MinSpeed);
}

double capped(double timesExpected, double current)
{
    return std::clamp(timesExpected, current / MaxFactorOfSample, current * MaxFactorOfSample);
}

} // namespace

EndpointSpeed::EndpointSpeed(double relativeSpeed, int samples, units::TimePoint lastSampleAt)
    : samples_(samples)
    , lastSampleAt_(lastSampleAt)
{
    steady_.timesExpected = limited(1 / relativeSpeed);
    steady_.weight = std::min(samples, MaxReceivedWeight);
    fast_ = {steady_.timesExpected, MinFastWeight};
}

void EndpointSpeed::Average::add(double value, double valueWeight, double oldWeight)
{
    weight = oldWeight + valueWeight;
    timesExpected = (timesExpected * oldWeight + value * valueWeight) / weight;
}

void EndpointSpeed::addSample(double timesExpected, double weight, units::TimePoint now)
{
    const units::Duration sinceLast = now - lastSampleAt_;
    if (sinceLast >= Lifetime)
        *this = {};
    lastSampleAt_ = now;
    const double sample = limited(timesExpected);
    if (samples_ < UncappedSamples) {
        steady_.add(sample, weight, steady_.weight);
        fast_ = {steady_.timesExpected, MinFastWeight};
        ++samples_;
        return;
    }
    if (sinceLast >= SlowLifetime)
        fast_ = {steady_.timesExpected, MinFastWeight};
    const double fastWeight = fast_.weight * units::shareLeft(sinceLast, FastHalfLife);
    fast_.add(capped(sample, fast_.timesExpected), std::min(weight, MinFastWeight),
              std::max(fastWeight, MinFastWeight));
    const double kept
        = samples_ < PlainMeanSamples ? 1 : units::shareLeft(sinceLast, SteadyHalfLife);
    steady_.add(capped(sample, steady_.timesExpected), weight, steady_.weight * kept);
    ++samples_;
}

double EndpointSpeed::steady() const
{
    if (steady_.weight <= 0)
        return 1;
    const double noise = 2 * SampleDeviation / std::sqrt(steady_.weight);
    const double speed = estimate();
    return std::abs(speed - 1) < std::max(SteadyTolerance, noise) ? 1 : speed;
}

bool EndpointSpeed::isSlowNow(units::TimePoint now) const
{
    return now - lastSampleAt_ < SlowLifetime && 1 / fast_.timesExpected < SlowShare * steady();
}

double EndpointSpeed::effective(units::TimePoint now) const
{
    return isSlowNow(now) ? 1 / fast_.timesExpected : steady();
}

} // namespace monsoongrade::routing::performance
