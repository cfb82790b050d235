#include <monsoongrade/routing/endpointloads.h>

namespace monsoongrade::routing {

const EndpointLoad &EndpointLoads::of(const EndpointStatus &endpoint) const
{
    static const EndpointLoad None;
    const auto found = loads_.find(&endpoint);
    return found == loads_.end() ? None : found->second;
}

void EndpointLoads::add(const EndpointStatus &endpoint, std::int64_t tokensToRead,
                        const performance::StreamGap &gap, units::TimePoint now)
{
    EndpointLoad &load = loads_[&endpoint];
    ++load.openRequests;
    if (load.tokensToRead == 0)
        load.busySince = now;
    load.tokensToRead += tokensToRead;
    load.batchTokens += tokensToRead;
    load.gaps.add(gap);
}

void EndpointLoads::removeTokens(const EndpointStatus &endpoint, std::int64_t tokens)
{
    const auto found = loads_.find(&endpoint);
    if (found != loads_.end())
        removeTokens(found->second, tokens);
}

void EndpointLoads::removeTokens(EndpointLoad &load, std::int64_t tokens)
{
    load.tokensToRead -= tokens;
    if (load.tokensToRead == 0)
        load.batchTokens = 0;
}

void EndpointLoads::addStream(const EndpointStatus &endpoint)
{
    ++loads_[&endpoint].streams;
}

void EndpointLoads::addResult(const EndpointStatus &endpoint, units::TimePoint now)
{
    loads_[&endpoint].lastResultAt = now;
}

void EndpointLoads::end(const EndpointStatus &endpoint, std::int64_t tokensToRead,
                        const performance::StreamGap &gap, bool isStream)
{
    const auto found = loads_.find(&endpoint);
    if (found == loads_.end())
        return;
    EndpointLoad &load = found->second;
    removeTokens(load, tokensToRead);
    load.gaps.remove(gap);
    load.streams -= isStream ? 1 : 0;
    if (--load.openRequests <= 0)
        loads_.erase(found);
}

} // namespace monsoongrade::routing
