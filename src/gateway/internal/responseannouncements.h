#ifndef MONSOONGRADE_GATEWAY_INTERNAL_RESPONSEANNOUNCEMENTS_H
#define MONSOONGRADE_GATEWAY_INTERNAL_RESPONSEANNOUNCEMENTS_H

#include <monsoongrade/gateway/gatewaystate.h>

namespace monsoongrade::gateway::internal {

// The request on whose connection a response came.
struct SentRequest
{
    const units::RequestId &id;
    const routing::EndpointRegistry::Status &endpoint;
    const routing::PlacementTicket &ticket;
    units::TimePoint sentAt;
    bool wasBrittleWhenSent = false; // as far as this host knew
};

// Applies what a response says about its endpoint, other than limits. A late response to an earlier
// request speaks of the same endpoint as one to this request. A response of another endpoint, which
// has the address now, does not.
void readAnnouncements(GatewayState &state, const SentRequest &request,
                       const EndpointResponseInfo &answer);

// Applies the limits that a response to this request names, or leaves out. A rejection without a
// limit does not end it: the part of the endpoint that sent it may not know the limit.
void updateLimits(GatewayState &state, const SentRequest &request,
                  const EndpointResponseInfo &answer);

} // namespace monsoongrade::gateway::internal

#endif // MONSOONGRADE_GATEWAY_INTERNAL_RESPONSEANNOUNCEMENTS_H
