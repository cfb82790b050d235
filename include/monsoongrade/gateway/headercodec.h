#ifndef MONSOONGRADE_GATEWAY_HEADERCODEC_H
#define MONSOONGRADE_GATEWAY_HEADERCODEC_H

#include <monsoongrade/httpio/messagehead.h>
#include <monsoongrade/routing/ratelimitupdate.h>
#include <monsoongrade/routing/requestmetadata.h>
#include <monsoongrade/units/clock.h>
#include <monsoongrade/units/ids.h>

#include <optional>

namespace monsoongrade::gateway {

// Attributes of a request that the gateway passes to an endpoint in headers.
struct EndpointRequest
{
    units::EndpointId endpoint; // any other endpoint must reject the request
    units::WorkspaceName workspace; // empty if there is none
    units::Duration timeLeft{};
    units::Tier tier;
    // IP:PORT of an endpoint from which the receiver copies cached prompt parts; empty: none.
    std::string cacheSource;
    std::string resumeAfter; // id of the last event the client has; empty for a new stream
};

// Attributes of an endpoint's response, decoded from its headers.
struct EndpointResponseInfo
{
    units::RequestId request; // the request that it answers; empty if not given
    bool provenNotRun = false;
    bool wrongEndpoint = false; // another endpoint has the address now
    bool isSigned = false; // has the signature without which a success is not accepted
    bool isLeaving = false; // the endpoint accepts no new requests and stops soon
    bool isLeavingUnreadable = false; // the value is neither "0", "1" nor empty
    // With a rejection: the time for which the endpoint wants no requests from this host.
    std::optional<std::chrono::duration<double>> pause;
    bool isPauseUnreadable = false; // the time given is not a number >= 0
    // Rate that an overloaded endpoint accepts from all hosts together; nullopt: no limit.
    std::optional<routing::RequestsPerSecond> requestLimit;
    bool isLimitUnreadable = false; // the limit given is not a number >= 0
    // Rejections for want of room that it survives, from all hosts together; nullopt: any number.
    std::optional<routing::RequestsPerSecond> maxRejections;
    bool isMaxRejectionsUnreadable = false; // the value given is not a number >= 0
    std::optional<std::chrono::seconds> idleTimeout; // after which it closes idle connections
};

// Encodes and decodes the platform's headers, so that the forwarding code does not depend on their
// names and formats.
class HeaderCodec
{
public:
    virtual ~HeaderCodec() = default;
    virtual routing::RequestMetadata decodeRequest(const httpio::Headers &headers) const = 0;
    // Returns the headers for the endpoint: those of the client without its API key and without
    // headers reserved for the gateway, and the reserved ones as set by the gateway.
    virtual httpio::Headers endpointHeaders(const httpio::Headers &client,
                                            const EndpointRequest &request) const = 0;
    // Returns the headers for another host that handles the request like one of its own clients':
    // those of the client, with the time that is left now.
    virtual httpio::Headers forwardedHeaders(const httpio::Headers &client,
                                             units::Duration timeLeft) const = 0;
    virtual EndpointResponseInfo decodeResponse(const httpio::MessageHead &head) const = 0;
    // Returns those of the endpoint's headers that are passed on to the client.
    virtual httpio::Headers clientHeaders(const httpio::Headers &endpoint) const = 0;
    // Returns the headers of a response made by the gateway. retryAfter is set if the client should
    // retry.
    virtual httpio::Headers gatewayHeaders(const units::RequestId &request,
                                           std::optional<units::Duration> retryAfter) const = 0;
};

} // namespace monsoongrade::gateway

#endif // MONSOONGRADE_GATEWAY_HEADERCODEC_H
