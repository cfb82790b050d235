#include <monsoongrade/routing/prefixcache/prefixcacheindex.h>

#include <algorithm>

namespace monsoongrade::routing::prefixcache {

namespace {

// Engines cache 80 to 100 long prompts; with 300 subjects over 9 engines a part stays cached for
// tens of seconds. Wrongly assuming that a part is cached costs one slow first event.
constexpr auto Retention = std::chrono::seconds(20);
// A new standby coordinator knows all parts in use after this time. Costs about one datagram of 20
// parts every 0.2 s.
constexpr auto AnnounceInterval = std::chrono::seconds(2);
// A part that another host has sent counts as prefilled after this time. Prefills take longer only
// in an overload, in which such requests are late.
constexpr auto AssumedPrefillTime = std::chrono::seconds(2);

bool isExpired(const PrefixCacheIndex::Holder &holder, units::TimePoint now)
{
    return now - holder.lastSent >= Retention;
}

bool isSame(const PrefixCacheIndex::Holder &holder, const DiscoveredEndpoint &endpoint)
{
    return holder.incarnation == endpoint.incarnation && holder.endpoint == endpoint.id;
}

} // namespace

bool PrefixCacheIndex::recordSent(const std::string &part, const DiscoveredEndpoint &endpoint,
                                  units::TimePoint now)
{
    if (now >= nextCleanupAt_)
        removeExpired(now);
    std::vector<Holder> &holders = parts_[part];
    auto holder = std::find_if(holders.begin(), holders.end(),
                               [&](const Holder &each) { return isSame(each, endpoint); });
    if (holder == holders.end())
        holder = holders.insert(holders.end(), {endpoint.id, endpoint.incarnation, now, {}});
    if (isExpired(*holder, now))
        holder->readyAt = units::TimePoint::max();
    holder->lastSent = now;
    const bool isAnnouncementDue = now - holder->lastAnnounced >= AnnounceInterval;
    if (isAnnouncementDue)
        holder->lastAnnounced = now;
    return isAnnouncementDue;
}

void PrefixCacheIndex::recordAnnounced(const std::string &part, const DiscoveredEndpoint &endpoint,
                                       units::TimePoint now)
{
    recordSent(part, endpoint, now);
    setReadyAt(part, endpoint, now + AssumedPrefillTime);
}

void PrefixCacheIndex::recordPrefilled(const std::string &part, const DiscoveredEndpoint &endpoint,
                                       units::TimePoint now)
{
    setReadyAt(part, endpoint, now);
}

void PrefixCacheIndex::setReadyAt(const std::string &part, const DiscoveredEndpoint &endpoint,
                                  units::TimePoint readyAt)
{
    const auto found = parts_.find(part);
    if (found == parts_.end())
        return;
    for (Holder &holder : found->second) {
        if (isSame(holder, endpoint))
            holder.readyAt = std::min(holder.readyAt, readyAt);
    }
}

bool PrefixCacheIndex::isReady(const Holder &holder, units::TimePoint now)
{
    return !isExpired(holder, now) && now >= holder.readyAt;
}

const std::vector<PrefixCacheIndex::Holder> *
PrefixCacheIndex::holders(const std::string &part) const
{
    const auto found = parts_.find(part);
    return found == parts_.end() ? nullptr : &found->second;
}

bool PrefixCacheIndex::holds(const std::vector<Holder> *holders, const DiscoveredEndpoint &endpoint,
                             units::TimePoint now)
{
    return holders != nullptr
        && std::any_of(holders->begin(), holders->end(), [&](const Holder &each) {
               return isSame(each, endpoint) && !isExpired(each, now);
           });
}

void PrefixCacheIndex::removeExpired(units::TimePoint now)
{
    nextCleanupAt_ = now + Retention;
    for (auto part = parts_.begin(); part != parts_.end();) {
        std::vector<Holder> &holders = part->second;
        holders.erase(std::remove_if(holders.begin(), holders.end(),
                                     [now](const Holder &each) { return isExpired(each, now); }),
                      holders.end());
        part = holders.empty() ? parts_.erase(part) : std::next(part);
    }
}

} // namespace monsoongrade::routing::prefixcache
