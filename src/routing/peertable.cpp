#include <monsoongrade/routing/peertable.h>

namespace monsoongrade::routing {

namespace {

// Six missed messages at four a second. Datagrams are lost at up to 3 in 100 on bad days, and a
// host that is wrongly left out gets no new callers for a moment, which does little harm.
constexpr auto LiveFor = std::chrono::milliseconds(1500);
// In a large fleet most news comes through others: each host tells seven of them in a round, and
// the news of all 80 is at most about 1.2 s old.
constexpr auto LiveForInLargeFleet = std::chrono::milliseconds(2500);
constexpr std::size_t LargeFleet = 12;
// A lost host may be behind a partition of up to a minute; later it comes back through a seed.
constexpr auto RememberedFor = std::chrono::seconds(120);

} // namespace

void PeerTable::addSeed(const std::string &ip)
{
    Entry &entry = entries_[ip];
    entry.news.ip = ip;
}

void PeerTable::hear(const PeerNews &news, units::TimePoint now)
{
    Entry &entry = entries_[news.ip];
    const units::TimePoint saidAt = now - news.age;
    if (entry.hasSpoken && saidAt <= entry.saidAt)
        return;
    entry.news = news;
    entry.saidAt = saidAt;
    entry.hasSpoken = true;
}

bool PeerTable::isLive(const std::string &ip, units::TimePoint now) const
{
    const auto found = entries_.find(ip);
    return found != entries_.end() && isLive(found->second, now);
}

bool PeerTable::isLive(const Entry &entry, units::TimePoint now) const
{
    const units::Duration liveFor = entries_.size() > LargeFleet ? LiveForInLargeFleet : LiveFor;
    return entry.hasSpoken && now - entry.saidAt < liveFor;
}

std::vector<PeerNews> PeerTable::live(units::TimePoint now) const
{
    std::vector<PeerNews> found;
    for (const auto &[ip, entry] : entries_) {
        if (!isLive(entry, now))
            continue;
        found.push_back(entry.news);
        found.back().age = now - entry.saidAt;
    }
    return found;
}

std::vector<std::string> PeerTable::addressees(units::TimePoint now) const
{
    std::vector<std::string> found;
    for (const auto &[ip, entry] : entries_) {
        if (!entry.hasSpoken || now - entry.saidAt < RememberedFor)
            found.push_back(ip);
    }
    return found;
}

} // namespace monsoongrade::routing
