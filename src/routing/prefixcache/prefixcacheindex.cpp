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
    holder->lastSent = now;
    const bool isAnnouncementDue = now - holder->lastAnnounced >= AnnounceInterval;
    if (isAnnouncementDue)
        holder->lastAnnounced = now;
    return isAnnouncementDue;
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
