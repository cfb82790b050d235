#include <monsoongrade/gateway/gateway.h>

#include <algorithm>
#include <iterator>

namespace monsoongrade::gateway {

void Gateway::logHostChanges(const std::vector<routing::PeerUpdate> &hosts)
{
    std::vector<std::string> now;
    now.reserve(hosts.size());
    for (const routing::PeerUpdate &host : hosts)
        now.push_back(host.ip);
    std::sort(now.begin(), now.end());
    std::vector<std::string> found;
    std::set_difference(now.begin(), now.end(), lastHosts_.begin(), lastHosts_.end(),
                        std::back_inserter(found));
    std::vector<std::string> lost;
    std::set_difference(lastHosts_.begin(), lastHosts_.end(), now.begin(), now.end(),
                        std::back_inserter(lost));
    lastHosts_ = std::move(now);
    for (const std::string &host : found)
        state_.log.write(observability::LogLevel::Info, "host-found", {{"host", host}});
    for (const std::string &host : lost)
        state_.log.write(observability::LogLevel::Warning, "host-lost",
                         {{"host", host}, {"live-hosts", std::uint64_t(lastHosts_.size())}});
}

void Gateway::logFullness()
{
    const bool isFull = callers_->isFull();
    if (isFull == wasFull_)
        return;
    wasFull_ = isFull;
    observability::log(observability::LogLevel::Warning,
                       isFull ? "connections-full" : "connections-free",
                       {{"connections", std::uint64_t(callers_->connections())},
                        {"max-connections", std::uint64_t(state_.callerLimits.maxConnections)},
                        {"refused", std::uint64_t(callers_->refusedConnections())},
                        {"evicted", std::uint64_t(callers_->evictedConnections())}});
}

} // namespace monsoongrade::gateway
