#include <gateway/internal/gossipmessages.h>

#include <asio/ip/address_v4.hpp>

#include <algorithm>
#include <cmath>

namespace monsoongrade::gateway::internal {

namespace {

// Keeps a datagram that describes many hosts small. A host that reports so many has usually lost
// all pools, and is not chosen for the others before it has failed once.
constexpr std::size_t MaxUnreachablePools = 8;

std::uint64_t inMilliseconds(units::Duration duration)
{
    return std::uint64_t(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

} // namespace

void encodePeer(schema::GossipPeer::Builder peer, const routing::PeerUpdate &update)
{
    peer.setIp(update.ip);
    peer.setFailureDomain(update.failureDomain.value());
    peer.setState(static_cast<schema::GossipPeer::State>(update.state));
    peer.setAgeMs(std::uint32_t(inMilliseconds(update.age)));
    peer.setUptimeMs(inMilliseconds(update.uptime));
    peer.setStoreForMs(inMilliseconds(update.storeReachableFor));
    peer.setMillicores(std::uint32_t(update.millicores));
    peer.setStoreRefused(update.isStoreRefused);
    peer.setDutyToken(update.dutyToken);
    const std::size_t pools = std::min(update.unreachablePools.size(), MaxUnreachablePools);
    auto unreachable = peer.initUnreachablePools(unsigned(pools));
    for (std::size_t i = 0; i < pools; ++i)
        unreachable.set(unsigned(i), update.unreachablePools[i].value());
}

std::optional<routing::PeerUpdate> decodePeer(schema::GossipPeer::Reader peer)
{
    const auto state = static_cast<std::uint16_t>(peer.getState());
    if (state > static_cast<std::uint16_t>(routing::PeerState::Lost))
        return std::nullopt; // from a newer version
    routing::PeerUpdate update;
    update.ip = peer.getIp();
    asio::error_code error;
    asio::ip::make_address_v4(update.ip, error);
    if (error)
        return std::nullopt;
    update.failureDomain = units::FailureDomain(peer.getFailureDomain());
    update.state = static_cast<routing::PeerState>(state);
    update.age = std::chrono::milliseconds(peer.getAgeMs());
    update.uptime = std::chrono::milliseconds(peer.getUptimeMs());
    update.millicores = int(peer.getMillicores());
    update.storeReachableFor = std::chrono::milliseconds(peer.getStoreForMs());
    update.isStoreRefused = peer.getStoreRefused();
    update.dutyToken = peer.getDutyToken();
    for (const auto pool : peer.getUnreachablePools())
        update.unreachablePools.emplace_back(pool.cStr());
    return update;
}

void encodeCrash(schema::CrashNews::Builder crash, const routing::CrashUpdate &update)
{
    crash.setKind(static_cast<schema::CrashNews::Kind>(update.kind));
    crash.setWorkspace(update.request.workspace.value());
    crash.setDigest(update.request.digest.value());
    crash.setPartPosition(std::uint16_t(update.partPosition));
    crash.setEndpoint(update.endpoint.id.value());
    crash.setIncarnation(update.endpoint.incarnation.value());
    crash.setAgeMs(inMilliseconds(update.age));
}

std::optional<routing::CrashUpdate> decodeCrash(schema::CrashNews::Reader crash)
{
    const auto kind = static_cast<std::uint16_t>(crash.getKind());
    if (kind > static_cast<std::uint16_t>(routing::CrashUpdate::Kind::EndpointCleared))
        return std::nullopt; // from a newer version
    routing::CrashUpdate update;
    update.kind = static_cast<routing::CrashUpdate::Kind>(kind);
    update.request.workspace = units::WorkspaceName(crash.getWorkspace());
    update.request.digest = routing::RequestDigest(crash.getDigest());
    update.partPosition = crash.getPartPosition();
    update.endpoint
        = {units::EndpointId(crash.getEndpoint()), routing::Incarnation(crash.getIncarnation())};
    update.age = std::chrono::milliseconds(crash.getAgeMs());
    return update;
}

void encodeLimit(schema::LimitNews::Builder limit, const routing::RateLimitUpdate &update)
{
    limit.setEndpoint(update.endpoint.id.value());
    limit.setIncarnation(update.endpoint.incarnation.value());
    limit.setIsLimited(update.limits.requests.has_value());
    limit.setRequestsPerSecond(update.limits.requests.value_or(0));
    limit.setIsBrittle(update.limits.rejections.has_value());
    limit.setRejectionsPerSecond(update.limits.rejections.value_or(0));
    limit.setAgeMs(inMilliseconds(update.age));
}

std::optional<routing::RateLimitUpdate> decodeLimit(schema::LimitNews::Reader limit)
{
    const auto isRate = [](double rate) {
        return std::isfinite(rate) && rate >= 0;
    };
    if (!isRate(limit.getRequestsPerSecond()) || !isRate(limit.getRejectionsPerSecond()))
        return std::nullopt;
    routing::RateLimitUpdate update;
    update.endpoint
        = {units::EndpointId(limit.getEndpoint()), routing::Incarnation(limit.getIncarnation())};
    if (limit.getIsLimited())
        update.limits.requests = limit.getRequestsPerSecond();
    if (limit.getIsBrittle())
        update.limits.rejections = limit.getRejectionsPerSecond();
    update.age = std::chrono::milliseconds(limit.getAgeMs());
    return update;
}

void encodeLeaving(schema::LeavingNews::Builder leaving, const routing::LeavingUpdate &update)
{
    leaving.setEndpoint(update.endpoint.id.value());
    leaving.setIncarnation(update.endpoint.incarnation.value());
    leaving.setAgeMs(inMilliseconds(update.age));
}

routing::LeavingUpdate decodeLeaving(schema::LeavingNews::Reader leaving)
{
    routing::LeavingUpdate update;
    update.endpoint = {units::EndpointId(leaving.getEndpoint()),
                       routing::Incarnation(leaving.getIncarnation())};
    update.age = std::chrono::milliseconds(leaving.getAgeMs());
    return update;
}

} // namespace monsoongrade::gateway::internal
