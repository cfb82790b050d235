#include <gateway/internal/gossipmessages.h>

#include <cmath>

namespace monsoongrade::gateway::internal {

namespace {

std::uint64_t inMilliseconds(units::Duration duration)
{
    return std::uint64_t(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

} // namespace

void encodePeer(schema::GossipPeer::Builder peer, const routing::PeerUpdate &news)
{
    peer.setIp(news.ip);
    peer.setFailureDomain(news.failureDomain.value());
    peer.setState(static_cast<schema::GossipPeer::State>(news.state));
    peer.setAgeMs(std::uint32_t(inMilliseconds(news.age)));
    peer.setUptimeMs(inMilliseconds(news.uptime));
    peer.setStoreForMs(inMilliseconds(news.storeReachableFor));
    peer.setMillicores(std::uint32_t(news.millicores));
    peer.setStoreRefused(news.isStoreRefused);
    peer.setDutyToken(news.dutyToken);
}

std::optional<routing::PeerUpdate> decodePeer(schema::GossipPeer::Reader peer)
{
    const auto state = static_cast<std::uint16_t>(peer.getState());
    if (state > static_cast<std::uint16_t>(routing::PeerState::Lost))
        return std::nullopt; // from a newer version
    routing::PeerUpdate news;
    news.ip = peer.getIp();
    news.failureDomain = units::FailureDomain(peer.getFailureDomain());
    news.state = static_cast<routing::PeerState>(state);
    news.age = std::chrono::milliseconds(peer.getAgeMs());
    news.uptime = std::chrono::milliseconds(peer.getUptimeMs());
    news.millicores = int(peer.getMillicores());
    news.storeReachableFor = std::chrono::milliseconds(peer.getStoreForMs());
    news.isStoreRefused = peer.getStoreRefused();
    news.dutyToken = peer.getDutyToken();
    return news;
}

void encodeCrash(schema::CrashNews::Builder crash, const routing::CrashUpdate &news)
{
    crash.setKind(static_cast<schema::CrashNews::Kind>(news.kind));
    crash.setWorkspace(news.request.workspace.value());
    crash.setDigest(news.request.digest.value());
    crash.setEndpoint(news.endpoint.id.value());
    crash.setIncarnation(news.endpoint.incarnation.value());
    crash.setAgeMs(inMilliseconds(news.age));
}

std::optional<routing::CrashUpdate> decodeCrash(schema::CrashNews::Reader crash)
{
    const auto kind = static_cast<std::uint16_t>(crash.getKind());
    if (kind > static_cast<std::uint16_t>(routing::CrashUpdate::Kind::EndpointAnswered))
        return std::nullopt; // from a newer version
    routing::CrashUpdate news;
    news.kind = static_cast<routing::CrashUpdate::Kind>(kind);
    news.request.workspace = units::WorkspaceName(crash.getWorkspace());
    news.request.digest = routing::RequestDigest(crash.getDigest());
    news.endpoint
        = {units::EndpointId(crash.getEndpoint()), routing::Incarnation(crash.getIncarnation())};
    news.age = std::chrono::milliseconds(crash.getAgeMs());
    return news;
}

void encodeLimit(schema::LimitNews::Builder limit, const routing::RateLimitUpdate &news)
{
    limit.setEndpoint(news.endpoint.id.value());
    limit.setIncarnation(news.endpoint.incarnation.value());
    limit.setIsLimited(news.limit.has_value());
    limit.setRequestsPerSecond(news.limit.value_or(0));
    limit.setAgeMs(inMilliseconds(news.age));
}

std::optional<routing::RateLimitUpdate> decodeLimit(schema::LimitNews::Reader limit)
{
    if (!std::isfinite(limit.getRequestsPerSecond()) || limit.getRequestsPerSecond() < 0)
        return std::nullopt;
    routing::RateLimitUpdate news;
    news.endpoint
        = {units::EndpointId(limit.getEndpoint()), routing::Incarnation(limit.getIncarnation())};
    if (limit.getIsLimited())
        news.limit = limit.getRequestsPerSecond();
    news.age = std::chrono::milliseconds(limit.getAgeMs());
    return news;
}

} // namespace monsoongrade::gateway::internal
