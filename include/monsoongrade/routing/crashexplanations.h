#ifndef MONSOONGRADE_ROUTING_CRASHEXPLANATIONS_H
#define MONSOONGRADE_ROUTING_CRASHEXPLANATIONS_H

#include <monsoongrade/routing/endpointinstance.h>
#include <monsoongrade/units/clock.h>

#include <map>

namespace monsoongrade::routing {

// What may explain that an endpoint crashed, other than the requests that it was running. A brittle
// endpoint crashes when it has to reject more requests in a second than it survives, whatever they
// are.
class CrashExplanations
{
public:
    // The endpoint announced to this or another host that it is brittle.
    void onBrittle(const EndpointInstance &endpoint, units::TimePoint now);
    // The endpoint rejected a request of this host for want of room. Only rejections of requests
    // that were sent without regard to the number that it survives are to be reported: the hosts
    // keep the others below that number.
    void onRejected(const EndpointInstance &endpoint, units::TimePoint now);

    bool isBrittle(const EndpointInstance &endpoint) const;
    // Whether rejections of which this host knows explain a crash at this time.
    bool hasRejectedBefore(const EndpointInstance &endpoint, units::TimePoint crashAt) const;

    void removeOutdated(units::TimePoint now);

private:
    void insert(std::map<EndpointInstance, units::TimePoint> &times,
                const EndpointInstance &endpoint, units::TimePoint now);

    std::map<EndpointInstance, units::TimePoint> brittle_; // last time of the announcement
    std::map<EndpointInstance, units::TimePoint> lastRejections_;
};

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_CRASHEXPLANATIONS_H
