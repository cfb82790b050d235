#ifndef MONSOONGRADE_ROUTING_ROUTE_H
#define MONSOONGRADE_ROUTING_ROUTE_H

#include <monsoongrade/units/clock.h>
#include <monsoongrade/units/ids.h>

#include <string>
#include <vector>

namespace monsoongrade::routing {

using RouteName = units::StrongString<struct RouteNameTag>;

// The form of the response, which also determines whether a request may be retried.
enum class RouteKind {
    Idempotent, // single response; may run more than once
    AtMostOnce, // single response; must not run twice
    Stream, // event stream; must not run twice unless the route is resumable
};

// One of the pools that share a route's traffic.
struct WeightedPool
{
    units::PoolName pool;
    double weight = 1;
};

// Matches requests by host name and path prefix.
struct Route
{
    RouteName name;
    std::string host; // lower case, without port
    std::string pathPrefix; // begins and ends with a slash
    RouteKind kind = RouteKind::AtMostOnce;
    bool resumable = false; // a stream may continue on another endpoint
    bool isPublic = false; // needs no API key
    units::Duration timeout = std::chrono::seconds(10); // from receipt to the end of the response
    units::Duration targetLatency = std::chrono::seconds(1); // to the response or first event
    // The longest that clients wait for the first event of a stream before they disconnect.
    units::Duration maxClientWait = std::chrono::seconds(60);
    units::Duration maxEventGap = std::chrono::seconds(1); // longest time between events
    int maxAttempts = 1; // endpoints that a request may be sent to
    units::Tier tier;
    std::vector<WeightedPool> pools; // never empty

    // True if a request may be retried after it may have run.
    bool mayRunTwice() const
    {
        return kind == RouteKind::Idempotent || (kind == RouteKind::Stream && resumable);
    }
};

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_ROUTE_H
