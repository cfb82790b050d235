#include <monsoongrade/routing/endpointloads.h>

namespace monsoongrade::routing {

EndpointLoad EndpointLoads::of(const EndpointStatus &endpoint) const
{
    const auto found = loads_.find(&endpoint);
    return found == loads_.end() ? EndpointLoad{} : found->second;
}

void EndpointLoads::add(const EndpointStatus &endpoint, std::int64_t tokensToRead)
{
    EndpointLoad &load = loads_[&endpoint];
    ++load.openRequests;
    load.tokensToRead += tokensToRead;
}

void EndpointLoads::removeTokens(const EndpointStatus &endpoint, std::int64_t tokens)
{
    const auto found = loads_.find(&endpoint);
    if (found != loads_.end())
        found->second.tokensToRead -= tokens;
}

void EndpointLoads::addStream(const EndpointStatus &endpoint)
{
    ++loads_[&endpoint].streams;
}

void EndpointLoads::addResult(const EndpointStatus &endpoint, units::TimePoint now)
{
    loads_[&endpoint].lastResultAt = now;
}

void EndpointLoads::end(const EndpointStatus &endpoint, std::int64_t tokensToRead, bool isStream)
{
    const auto found = loads_.find(&endpoint);
    if (found == loads_.end())
        return;
    EndpointLoad &load = found->second;
    load.tokensToRead -= tokensToRead;
    load.streams -= isStream ? 1 : 0;
    if (--load.openRequests <= 0)
        loads_.erase(found);
}

} // namespace monsoongrade::routing
