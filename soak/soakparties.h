#ifndef MONSOONGRADE_SOAK_SOAKPARTIES_H
#define MONSOONGRADE_SOAK_SOAKPARTIES_H

#include <chrono>
#include <cstddef>
#include <string>

namespace monsoongrade::soak {

// The parties of a run, as its faults and its checks name them.

constexpr std::size_t Endpoints = 8;
constexpr std::size_t ModelEndpoints = 5; // the first ones; the others serve plain requests
constexpr int EventsOfStream = 12;
constexpr int MaxWaiting = 4; // requests at an endpoint
// Of a request, and of all attempts of a stream together.
constexpr auto RequestDeadline = std::chrono::milliseconds(4000);
constexpr auto StreamTime = std::chrono::milliseconds(10000);
// The shortest time-out that a route ever has.
constexpr auto MinRouteTimeout = std::chrono::milliseconds(3600);
constexpr auto StopWithin = std::chrono::seconds(4);
inline const std::string FirstKey = "key-one";
// The key that a run may revoke.
inline const std::string SecondKey = "key-two";

inline std::string hostParty(std::size_t host)
{
    return "host-" + std::to_string(host);
}

inline std::string endpointParty(std::size_t endpoint)
{
    return "endpoint-" + std::to_string(endpoint);
}

} // namespace monsoongrade::soak

#endif // MONSOONGRADE_SOAK_SOAKPARTIES_H
