#ifndef MONSOONGRADE_GATEWAY_INTERNAL_MALFORMEDRESPONSE_H
#define MONSOONGRADE_GATEWAY_INTERNAL_MALFORMEDRESPONSE_H

#include <monsoongrade/gateway/ratelimitedlog.h>
#include <monsoongrade/httpio/channel.h>
#include <monsoongrade/units/ids.h>

namespace monsoongrade::gateway::internal {

// Logs what is wrong with the response on the channel, which has failed as malformed. The bytes
// themselves may be private or endless and are not logged.
void logMalformedResponse(RateLimitedLog &log, const units::RequestId &request,
                          const units::EndpointId &endpoint, const httpio::Channel &channel);

} // namespace monsoongrade::gateway::internal

#endif // MONSOONGRADE_GATEWAY_INTERNAL_MALFORMEDRESPONSE_H
