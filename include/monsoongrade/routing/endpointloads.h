#ifndef MONSOONGRADE_ROUTING_ENDPOINTLOADS_H
#define MONSOONGRADE_ROUTING_ENDPOINTLOADS_H

#include <monsoongrade/routing/endpointstatus.h>

#include <unordered_map>

namespace monsoongrade::routing {

// What one host has placed on an endpoint and is not over yet.
struct EndpointLoad
{
    int openRequests = 0;
    int streams = 0; // of the open requests, those that have had their first event
    std::int64_t tokensToRead = 0; // of the others
    units::TimePoint lastResultAt{}; // a first event or whole response
};

// Counts the open requests and unread tokens of each endpoint.
class EndpointLoads
{
public:
    // Nothing, if the endpoint has no open request.
    EndpointLoad of(const EndpointStatus &endpoint) const;
    void add(const EndpointStatus &endpoint, std::int64_t tokensToRead);
    // The endpoint has read these tokens, or is not believed to read them any more.
    void removeTokens(const EndpointStatus &endpoint, std::int64_t tokens);
    void addStream(const EndpointStatus &endpoint);
    void addResult(const EndpointStatus &endpoint, units::TimePoint now);
    // A request is over. isStream: addStream() was called for it.
    void end(const EndpointStatus &endpoint, std::int64_t tokensToRead, bool isStream);

private:
    std::unordered_map<const EndpointStatus *, EndpointLoad> loads_;
};

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_ENDPOINTLOADS_H
