#ifndef MONSOONGRADE_ROUTING_ROUTE_H
#define MONSOONGRADE_ROUTING_ROUTE_H

#include <monsoongrade/units/clock.h>
#include <monsoongrade/units/ids.h>

#include <string>
#include <vector>

namespace monsoongrade::routing {

using RouteName = units::StrongString<struct RouteNameTag>;

// How the response comes, and with it what may be repeated.
enum class RouteKind {
    Idempotent, // plain response; may run more than once
    AtMostOnce, // plain response; must not run twice
    Stream, // events; must not run twice unless the route is resumable
};

// One of the pools that share a route's traffic.
struct WeightedPool
{
    units::PoolName pool;
    double weight = 1;
};

// Requests for one host name whose path begins with one prefix.
struct Route
{
    RouteName name;
    std::string host; // lower case, without port
    std::string pathPrefix; // begins and ends with a slash
    RouteKind kind = RouteKind::AtMostOnce;
    bool resumable = false; // a stream may continue at another endpoint
    bool isPublic = false; // needs no key
    units::Duration timeout = std::chrono::seconds(10); // from receipt to the end of the response
    units::Duration targetLatency = std::chrono::seconds(1); // to the response or first event
    // How long clients wait for the first event of a stream before they leave, at most.
    units::Duration maxClientWait = std::chrono::seconds(60);
    units::Duration maxEventGap = std::chrono::seconds(1); // pause between events still on time
    int maxAttempts = 1; // endpoints that one request may be sent to
    units::Tier tier;
    std::vector<WeightedPool> pools; // never empty

    // True if a request that may have run may run again.
    bool mayRunTwice() const
    {
        return kind == RouteKind::Idempotent || (kind == RouteKind::Stream && resumable);
    }
};

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_ROUTE_H
