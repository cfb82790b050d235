#include <monsoongrade/routing/forwardinghosts.h>

#include <algorithm>
#include <limits>

namespace monsoongrade::routing {

namespace {

// Gossip tells within a second that a host has lost a pool, or is back.
constexpr auto FailureRetention = std::chrono::seconds(1);
// Responses from another failure domain cost bytes between domains and 1 to 2 ms.
constexpr double OtherDomainFactor = 1.5;

} // namespace

std::string ForwardingHosts::select(const std::vector<PeerUpdate> &live,
                                    const units::PoolName &pool,
                                    const units::FailureDomain &ownDomain,
                                    const std::vector<std::string> &excluded,
                                    units::TimePoint now) const
{
    std::string selected;
    double best = std::numeric_limits<double>::infinity();
    for (const PeerUpdate &host : live) {
        const auto &lost = host.unreachablePools;
        const bool isUsable = host.state == PeerState::Serving
            && std::find(lost.begin(), lost.end(), pool) == lost.end()
            && std::find(excluded.begin(), excluded.end(), host.ip) == excluded.end()
            && !hasFailedLately(host.ip, pool, now);
        if (!isUsable)
            continue;
        const auto open = open_.find(host.ip);
        const double requests = 1 + (open == open_.end() ? 0 : open->second);
        const double cost = requests / std::max(host.millicores, 1)
            * (host.failureDomain == ownDomain ? 1 : OtherDomainFactor);
        if (cost < best) {
            best = cost;
            selected = host.ip;
        }
    }
    return selected;
}

void ForwardingHosts::onEnded(const std::string &host)
{
    const auto found = open_.find(host);
    if (found != open_.end() && --found->second <= 0)
        open_.erase(found);
}

void ForwardingHosts::onFailed(const std::string &host, const units::PoolName &pool,
                               units::TimePoint now)
{
    for (auto entry = failedAt_.begin(); entry != failedAt_.end();)
        entry = now - entry->second >= FailureRetention ? failedAt_.erase(entry) : std::next(entry);
    failedAt_[{host, pool.value()}] = now;
}

bool ForwardingHosts::hasFailedLately(const std::string &host, const units::PoolName &pool,
                                      units::TimePoint now) const
{
    const auto found = failedAt_.find({host, pool.value()});
    return found != failedAt_.end() && now - found->second < FailureRetention;
}

} // namespace monsoongrade::routing
