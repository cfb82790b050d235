#include <rpc/internal/messages.h>

#include <algorithm>

namespace monsoongrade::rpc::internal {

namespace {

using std::chrono::microseconds;

constexpr std::uint64_t MaxMicros = 24ULL * 3600 * 1000000;

std::uint64_t micros(units::Duration duration)
{
    const auto count = std::chrono::duration_cast<microseconds>(duration).count();
    return static_cast<std::uint64_t>(std::max<std::int64_t>(0, count));
}

units::Duration duration(std::uint64_t count)
{
    return microseconds(std::min(count, MaxMicros));
}

} // namespace

void write(schema::SlotAsk::Builder out, const scheduling::SlotAsk &ask)
{
    out.setRequest(ask.request.value());
    out.setPool(ask.pool.value());
    out.setClassName(ask.className.value());
    out.setWorkspace(ask.workspace.value());
    out.setPrefix(ask.prefix.value());
    out.setWaitedMicros(micros(ask.waited));
    out.setPatienceMicros(ask.patience ? micros(*ask.patience) : 0);
    auto avoid = out.initAvoid(static_cast<unsigned>(ask.avoid.size()));
    for (unsigned i = 0; i < ask.avoid.size(); ++i)
        avoid.set(i, ask.avoid[i].value());
}

scheduling::SlotAsk read(schema::SlotAsk::Reader in, const units::DaemonId &router)
{
    scheduling::SlotAsk ask;
    ask.request = units::RequestId(in.getRequest());
    ask.router = router;
    ask.pool = units::PoolName(in.getPool());
    ask.className = units::ClassName(in.getClassName());
    ask.workspace = units::WorkspaceName(in.getWorkspace());
    ask.prefix = units::PrefixHash(in.getPrefix());
    ask.waited = duration(in.getWaitedMicros());
    if (in.getPatienceMicros() > 0)
        ask.patience = duration(in.getPatienceMicros());
    for (const auto endpoint : in.getAvoid())
        ask.avoid.emplace_back(endpoint);
    return ask;
}

void write(schema::SlotRelease::Builder out, const scheduling::SlotRelease &release)
{
    out.setGrant(release.grant.value());
    out.setTokens(release.tokens.value());
    out.setHeldMicros(micros(release.held));
    out.setOutcome(static_cast<std::uint8_t>(release.outcome));
}

scheduling::SlotRelease read(schema::SlotRelease::Reader in)
{
    scheduling::SlotRelease release;
    release.grant = units::GrantId(in.getGrant());
    release.tokens = units::TokenCount(std::max<std::int64_t>(0, in.getTokens()));
    release.held = duration(in.getHeldMicros());
    constexpr auto Last = static_cast<std::uint8_t>(scheduling::ReleaseOutcome::EndpointFailed);
    release.outcome
        = static_cast<scheduling::ReleaseOutcome>(std::min<std::uint8_t>(in.getOutcome(), Last));
    return release;
}

void write(schema::SlotDecision::Builder out, const SlotOutcome &outcome)
{
    if (const auto *grant = std::get_if<scheduling::SlotGrant>(&outcome)) {
        auto granted = out.initGranted();
        granted.setGrant(grant->id.value());
        granted.setEndpoint(grant->endpoint.value());
        return;
    }
    if (std::holds_alternative<Moved>(outcome)) {
        out.setMoved();
        return;
    }
    const auto &refusal = std::get<scheduling::SlotRefusal>(outcome);
    auto refused = out.initRefused();
    refused.setCode(static_cast<int>(refusal.code));
    refused.setRetryAfterMillis(static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(refusal.retryAfter).count()));
}

} // namespace monsoongrade::rpc::internal
