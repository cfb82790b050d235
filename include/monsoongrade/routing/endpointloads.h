#ifndef MONSOONGRADE_ROUTING_ENDPOINTLOADS_H
#define MONSOONGRADE_ROUTING_ENDPOINTLOADS_H

#include <monsoongrade/routing/endpointstatus.h>

#include <unordered_map>

namespace monsoongrade::routing {

// Unfinished work that one host has placed on an endpoint.
struct EndpointLoad
{
    int openRequests = 0;
    int streams = 0; // open requests that have received their first event
    std::int64_t tokensToRead = 0; // unprocessed prompt tokens of the others
    units::TimePoint lastResultAt{}; // last first event or complete response
};

// Counts the open requests and unprocessed prompt tokens of each endpoint.
class EndpointLoads
{
public:
    // All zero if the endpoint has no open request.
    EndpointLoad of(const EndpointStatus &endpoint) const;
    void add(const EndpointStatus &endpoint, std::int64_t tokensToRead);
    // The endpoint has processed these tokens, or is no longer expected to process them.
    void removeTokens(const EndpointStatus &endpoint, std::int64_t tokens);
    void addStream(const EndpointStatus &endpoint);
    void addResult(const EndpointStatus &endpoint, units::TimePoint now);
    // A request has ended. isStream: addStream() was called for it.
    void end(const EndpointStatus &endpoint, std::int64_t tokensToRead, bool isStream);

private:
    std::unordered_map<const EndpointStatus *, EndpointLoad> loads_;
};

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_ENDPOINTLOADS_H
