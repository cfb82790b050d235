#include <monsoongrade/routing/peertable.h>

#include <algorithm>
#include <iterator>

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
// Up to this size each host's news reaches all others by way of gossip within LiveForInLargeFleet.
constexpr std::size_t MaxHostsHeardByAge = 100;
// Each round goes to seven hosts, so that a change reaches all of 10,000 in five rounds.
constexpr int TransmitsOfChange = 4;
// Fewer for a host that is new here: when a whole fleet starts, all are.
constexpr int TransmitsOfNewHost = 3;
// Starts of one process as two hosts work them out differ by the time that news was under way.
constexpr auto SameStart = std::chrono::milliseconds(1000);
// A host that is lost may have spoken to others a moment after its last word here.
constexpr auto SpokeElsewhere = std::chrono::milliseconds(300);

units::TimePoint startOf(const PeerUpdate &news, units::TimePoint saidAt)
{
    return saidAt - news.uptime;
}

bool isChange(const PeerUpdate &news, const PeerUpdate &known)
{
    return news.state != known.state || news.isStoreRefused != known.isStoreRefused
        || news.dutyToken != known.dutyToken || news.uptime < known.uptime
        || (news.storeReachableFor > units::Duration::zero())
        != (known.storeReachableFor > units::Duration::zero());
}

} // namespace

void PeerTable::addSeed(const std::string &ip)
{
    Entry &entry = entries_[ip];
    entry.news.ip = ip;
}

void PeerTable::receive(const PeerUpdate &news, units::TimePoint now)
{
    Entry &entry = entries_[news.ip];
    const units::TimePoint saidAt = now - news.age;
    if (entry.hasSpoken && !isNewer(news, entry, now))
        return;
    if (!entry.hasSpoken)
        entry.transmitsLeft = TransmitsOfNewHost;
    else if (isChange(news, entry.news))
        entry.transmitsLeft = TransmitsOfChange;
    spoken_ += entry.hasSpoken ? 0 : 1;
    entry.news = news;
    entry.saidAt = saidAt;
    entry.hasSpoken = true;
}

bool PeerTable::isNewer(const PeerUpdate &news, const Entry &known, units::TimePoint now) const
{
    const units::TimePoint saidAt = now - news.age;
    if (!isLarge())
        return saidAt > known.saidAt;
    const units::Duration between = startOf(news, saidAt) - startOf(known.news, known.saidAt);
    if (between >= SameStart || between <= -units::Duration(SameStart))
        return between > units::Duration::zero();
    return news.uptime > known.news.uptime;
}

void PeerTable::markLost(const std::string &ip, units::TimePoint now)
{
    const auto found = entries_.find(ip);
    if (found == entries_.end())
        return;
    Entry &entry = found->second;
    entry.news.uptime += now - entry.saidAt - units::Duration(SpokeElsewhere);
    entry.news.state = PeerState::Lost;
    entry.saidAt = now - SpokeElsewhere;
    entry.transmitsLeft = TransmitsOfChange;
}

bool PeerTable::isLarge() const
{
    return spoken_ > MaxHostsHeardByAge;
}

std::vector<PeerUpdate> PeerTable::takeChanges(std::size_t most, units::TimePoint now,
                                               std::minstd_rand &random)
{
    std::vector<Entry *> changed;
    for (auto &[ip, entry] : entries_) {
        if (entry.transmitsLeft > 0)
            changed.push_back(&entry);
    }
    std::shuffle(changed.begin(), changed.end(), random);
    most = std::min(most, changed.size());
    std::partial_sort(
        changed.begin(), changed.begin() + std::ptrdiff_t(most), changed.end(),
        [](const Entry *a, const Entry *b) { return a->transmitsLeft > b->transmitsLeft; });
    std::vector<PeerUpdate> news;
    news.reserve(most);
    for (std::size_t i = 0; i < most; ++i) {
        --changed[i]->transmitsLeft;
        news.push_back(updateFor(*changed[i], now));
    }
    return news;
}

std::vector<PeerUpdate> PeerTable::sample(std::size_t most, units::TimePoint now,
                                          std::minstd_rand &random) const
{
    std::vector<const Entry *> live;
    for (const auto &[ip, entry] : entries_) {
        if (isLive(entry, now))
            live.push_back(&entry);
    }
    std::vector<const Entry *> chosen;
    std::sample(live.begin(), live.end(), std::back_inserter(chosen), most, random);
    std::vector<PeerUpdate> news;
    news.reserve(chosen.size());
    for (const Entry *entry : chosen)
        news.push_back(updateFor(*entry, now));
    return news;
}

PeerUpdate PeerTable::updateFor(const Entry &entry, units::TimePoint now) const
{
    PeerUpdate news = entry.news;
    news.age = now - entry.saidAt;
    return news;
}

bool PeerTable::isLive(const std::string &ip, units::TimePoint now) const
{
    const auto found = entries_.find(ip);
    return found != entries_.end() && isLive(found->second, now);
}

bool PeerTable::isLive(const Entry &entry, units::TimePoint now) const
{
    if (!entry.hasSpoken || entry.news.state == PeerState::Lost)
        return false;
    const units::Duration liveFor = entries_.size() > LargeFleet ? LiveForInLargeFleet : LiveFor;
    return isLarge() || now - entry.saidAt < liveFor;
}

std::vector<PeerUpdate> PeerTable::live(units::TimePoint now) const
{
    std::vector<PeerUpdate> found;
    for (const auto &[ip, entry] : entries_) {
        if (isLive(entry, now))
            found.push_back(updateFor(entry, now));
    }
    return found;
}

std::vector<std::string> PeerTable::liveIps(units::TimePoint now) const
{
    std::vector<std::string> found;
    for (const auto &[ip, entry] : entries_) {
        if (isLive(entry, now))
            found.push_back(ip);
    }
    return found;
}

std::vector<std::string> PeerTable::recipients(units::TimePoint now) const
{
    std::vector<std::string> found;
    for (const auto &[ip, entry] : entries_) {
        if (!entry.hasSpoken || now - entry.saidAt < RememberedFor)
            found.push_back(ip);
    }
    return found;
}

} // namespace monsoongrade::routing
