#ifndef MONSOONGRADE_ROUTING_ENDPOINTHEALTH_H
#define MONSOONGRADE_ROUTING_ENDPOINTHEALTH_H

#include <monsoongrade/units/clock.h>

namespace monsoongrade::routing {

// Tracks the health of one endpoint by the results of the requests that this host sent to it. An
// endpoint that fails requests may still report itself as healthy, so its reports are not used.
class EndpointHealth
{
public:
    // A complete response arrived that is not an error of the endpoint.
    void onSuccess(units::TimePoint now);
    // A complete response arrived that is an error of the endpoint. The endpoint is up, so this
    // does not suspend it, but others are preferred.
    void onErrorResponse(units::TimePoint now);
    // A connection could not be opened or broke, or the endpoint did not respond in time.
    void onFailure(units::TimePoint now);
    // The endpoint sent nothing, for any request, for so long that it is considered down.
    void onSilence(units::TimePoint now);
    // The first byte or event of a response took latencyRatio times the expected time.
    void onLatency(double latencyRatio, units::TimePoint now);

    // False while the endpoint is suspended after consecutive failures. After each suspension it
    // gets one trial request, whose result decides whether it is used again.
    bool accepts(units::TimePoint now) const;
    // Marks the trial request that is sent at the end of a suspension.
    void onSent(units::TimePoint now);
    // Share of recent requests that failed, from 0 to 1.
    double failureRate(units::TimePoint now) const;
    // Recent latency as a multiple of the expected one; 1 is normal.
    double slowness(units::TimePoint now) const;

private:
    void addResult(double failed, units::TimePoint now);

    int consecutiveFailures_ = 0;
    double failureShare_ = 0;
    units::TimePoint failureShareAt_{};
    double slowness_ = 1;
    units::TimePoint slownessAt_{};
    units::TimePoint suspendedUntil_{};
};

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_ENDPOINTHEALTH_H
