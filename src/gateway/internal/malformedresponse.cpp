#include <gateway/internal/malformedresponse.h>

namespace monsoongrade::gateway::internal {

void logMalformedResponse(RateLimitedLog &log, const units::RequestId &request,
                          const units::EndpointId &endpoint, const httpio::Channel &channel)
{
    log.write(observability::LogLevel::Warning, "endpoint-response-malformed",
              {{"request", request.value()},
               {"endpoint", endpoint.value()},
               {"problem", channel.problem()}});
}

} // namespace monsoongrade::gateway::internal
