#ifndef MONSOONGRADE_GATEWAY_HEADERCODEC_H
#define MONSOONGRADE_GATEWAY_HEADERCODEC_H

#include <monsoongrade/httpio/messagehead.h>
#include <monsoongrade/routing/ratelimitupdate.h>
#include <monsoongrade/routing/requestmetadata.h>
#include <monsoongrade/units/clock.h>
#include <monsoongrade/units/ids.h>

#include <optional>

namespace monsoongrade::gateway {

// What the gateway tells an endpoint about a request.
struct EndpointRequest
{
    units::EndpointId endpoint; // any other endpoint must reject the request
    units::WorkspaceName workspace; // empty if there is none
    units::Duration timeLeft{};
    units::Tier tier;
    std::string resumeAfter; // id of the last event that the client has; empty at the start
};

// What an endpoint's response says besides its status and body.
struct EndpointResponseInfo
{
    units::RequestId request; // the request that it belongs to; empty if not given
    bool provenNotRun = false;
    bool wrongEndpoint = false; // another endpoint has the address
    bool isSigned = false; // carries the proof without which a success does not count
    // What the endpoint takes from all hosts together while it is in need; none: no limit.
    std::optional<routing::RequestsPerSecond> requestLimit;
    bool isLimitUnreadable = false; // it named a limit that is no number of 0 or more
    std::optional<std::chrono::seconds> idleTimeout; // when the endpoint closes idle connections
};

// Header names and formats of the platform, kept out of the code that forwards requests.
class HeaderCodec
{
public:
    virtual ~HeaderCodec() = default;
    virtual routing::RequestMetadata decodeRequest(const httpio::Headers &headers) const = 0;
    // The client's headers for the endpoint: without the key and without what only the gateway may
    // set, and with that.
    virtual httpio::Headers endpointHeaders(const httpio::Headers &client,
                                            const EndpointRequest &request) const = 0;
    virtual EndpointResponseInfo decodeResponse(const httpio::MessageHead &head) const = 0;
    // The endpoint's headers for the client.
    virtual httpio::Headers clientHeaders(const httpio::Headers &endpoint) const = 0;
    // Headers of the gateway's own response. retryAfter is given if the client should come back.
    virtual httpio::Headers gatewayHeaders(const units::RequestId &request,
                                           std::optional<units::Duration> retryAfter) const = 0;
};

} // namespace monsoongrade::gateway

#endif // MONSOONGRADE_GATEWAY_HEADERCODEC_H
