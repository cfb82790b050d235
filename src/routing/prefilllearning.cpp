#include <monsoongrade/routing/requestplacer.h>

namespace monsoongrade::routing {

namespace {

// Prefills on an endpoint that is slower than expected by this factor reflect its fault and are
// not used to estimate the prefill rate of the pool.
constexpr double MaxSlownessOfSamples = 4;

} // namespace

double RequestPlacer::tokensPerMs(const EndpointStatus &endpoint, units::TimePoint now) const
{
    const DiscoveredEndpoint &registration = endpoint.registration;
    const performance::PrefillRate &rate = prefillRates_.of(registration.pool);
    if (!rate.expectedTimes(0, 1, now))
        return 0;
    return rate.tokensPerMs(now) * speeds_.relativeSpeed(registration.pool, registration, now);
}

// For a request that was just placed there, behind the outstanding ones.
units::Duration RequestPlacer::expectedFirstEvent(const EndpointStatus &endpoint,
                                                  units::TimePoint now) const
{
    const DiscoveredEndpoint &registration = endpoint.registration;
    const auto times
        = prefillRates_.of(registration.pool)
              .expectedTimes(loads_.of(endpoint).tokensToRead,
                             speeds_.relativeSpeed(registration.pool, registration, now), now);
    return times ? times->total() : units::Duration::zero();
}

// The tokens are converted to those that the mean endpoint of the pool prefills in the same time.
// Otherwise the rate would depend on which endpoints had the latest prefills, and on which of them
// the longest.
void RequestPlacer::learnRate(const Placed &placed, units::TimePoint now)
{
    const DiscoveredEndpoint &registration = placed.endpoint->registration;
    const double speed = speeds_.speedRelativeToSampled(registration.pool, registration, now);
    prefillRates_.addSample(registration.pool, std::int64_t(double(placed.tokensToRead) / speed),
                            now - placed.at, now);
}

void RequestPlacer::learnSpeed(const Placed &placed, units::TimePoint now)
{
    const EndpointStatus &endpoint = *placed.endpoint;
    const auto sample = prefillPeriods_.onFirstEvent(endpoint, placed.tokensToRead,
                                                     tokensPerMs(endpoint, now), now);
    if (!sample)
        return;
    const DiscoveredEndpoint &registration = endpoint.registration;
    const auto times = prefillRates_.of(registration.pool).expectedTimes(sample->tokens, 1, now);
    if (!times)
        return;
    const units::Duration took
        = sample->took - (sample->includesFixedTime ? times->fixed : units::Duration::zero());
    speeds_.onPrefillDone(registration.pool, registration, sample->tokens, took, times->perTokens,
                          now);
}

void RequestPlacer::onFirstEvent(Placed &placed, units::TimePoint now)
{
    const EndpointStatus &endpoint = *placed.endpoint;
    placed.endpoint->admissionWindow.onAccepted(placed.openRequests);
    loads_.addResult(endpoint, now);
    if (placed.isSolePrefill && endpoint.health.slowness(now) < MaxSlownessOfSamples) {
        learnRate(placed, now);
        highestRates_[endpoint.registration.pool.value()].addSample(placed.tokensToRead,
                                                                    now - placed.at, now);
    }
    placed.isSolePrefill = false;
    learnSpeed(placed, now);
    loads_.removeTokens(endpoint, placed.tokensToRead);
    placed.tokensToRead = 0;
    if (!placed.isStreaming) {
        loads_.addStream(endpoint);
        prefixCache_.recordPrefilled(placed.sharedPart, endpoint.registration, now);
    }
    placed.isStreaming = true;
}

} // namespace monsoongrade::routing
