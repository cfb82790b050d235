#ifndef MONSOONGRADE_ROUTING_ENDPOINTHEALTH_H
#define MONSOONGRADE_ROUTING_ENDPOINTHEALTH_H

#include <monsoongrade/units/clock.h>

namespace monsoongrade::routing {

// Judges one endpoint by the requests that this host sent to it. An endpoint that breaks requests
// may still call itself healthy, so its own word does not count here.
class EndpointHealth
{
public:
    // A whole response arrived that is no error of the endpoint.
    void onSuccess(units::TimePoint now);
    // A whole response arrived that is an error of the endpoint. The endpoint is up, so this
    // does not suspend it, but others are preferred.
    void onErrorResponse(units::TimePoint now);
    // A connection failed or broke, or the endpoint stayed silent.
    void onFailure(units::TimePoint now);
    // Nothing came from the endpoint, for any request, for so long that it is taken for lost.
    void onSilence(units::TimePoint now);
    // The first byte or event of a response took this many times as long as expected.
    void onLatency(double timesExpected, units::TimePoint now);

    // False while the endpoint is suspended after failures in a row; it then gets one request
    // after each pause, which decides whether it comes back.
    bool accepts(units::TimePoint now) const;
    // Marks the one request that is sent at the end of a pause.
    void onSent(units::TimePoint now);
    // Share of recent requests that failed, 0 to 1.
    double failureRate(units::TimePoint now) const;
    // Recent latency as a multiple of what was expected; 1 is normal.
    double slowness(units::TimePoint now) const;

private:
    void addResult(double failed, units::TimePoint now);

    int failuresInRow_ = 0;
    double failureShare_ = 0;
    units::TimePoint failureShareAt_{};
    double slowness_ = 1;
    units::TimePoint slownessAt_{};
    units::TimePoint suspendedUntil_{};
};

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_ENDPOINTHEALTH_H
