#include <monsoongrade/routing/peertable.h>

#include <algorithm>
#include <iterator>

namespace monsoongrade::routing {

namespace {

// Six missed messages at four a second. Up to 3 % of datagrams are lost at times, and a host that
// is wrongly considered lost gets no new callers for a moment, which does little harm.
constexpr auto LiveTimeout = std::chrono::milliseconds(1500);
// Above MaxHostsHeardDirectly most updates come through other hosts: each sends to seven in a
// round, and with 80 hosts the updates of all are at most about 1.2 s old.
constexpr auto RelayedLiveTimeout = std::chrono::milliseconds(2500);
constexpr std::size_t MaxHostsHeardDirectly = 12;
// A lost host may be behind a network partition of up to a minute; later it returns through a seed.
constexpr auto LostHostRetention = std::chrono::seconds(120);
// Up to this fleet size, gossip carries the updates of each host to all others within
// RelayedLiveTimeout.
constexpr std::size_t MaxHostsTimedOutByAge = 100;
// Each round has seven recipients, so that a change reaches all of 10,000 hosts in five rounds.
constexpr int TransmitsPerChange = 4;
// Fewer for a host that is new to this one: when a whole fleet starts, all of them are.
constexpr int TransmitsPerNewHost = 3;
// Two hosts compute slightly different start times of a process, depending on message delays.
constexpr auto StartTimeTolerance = std::chrono::milliseconds(1000);
// Other hosts may have heard from a lost host a moment after this one last did.
constexpr auto LossReportOffset = std::chrono::milliseconds(300);

units::TimePoint startOf(const PeerUpdate &update, units::TimePoint reportedAt)
{
    return reportedAt - update.uptime;
}

bool isChange(const PeerUpdate &update, const PeerUpdate &known)
{
    return update.state != known.state || update.isStoreRefused != known.isStoreRefused
        || update.dutyToken != known.dutyToken || update.unreachablePools != known.unreachablePools
        || update.uptime < known.uptime
        || (update.storeReachableFor > units::Duration::zero())
        != (known.storeReachableFor > units::Duration::zero());
}

} // namespace

void PeerTable::addSeed(const std::string &ip)
{
    Entry &entry = entries_[ip];
    entry.update.ip = ip;
}

void PeerTable::receive(const PeerUpdate &update, units::TimePoint now)
{
    Entry &entry = entries_[update.ip];
    const units::TimePoint reportedAt = now - update.age;
    if (entry.hasReport && !isNewer(update, entry, now))
        return;
    if (!entry.hasReport)
        entry.transmitsLeft = TransmitsPerNewHost;
    else if (isChange(update, entry.update))
        entry.transmitsLeft = TransmitsPerChange;
    reportedHosts_ += entry.hasReport ? 0 : 1;
    entry.update = update;
    entry.reportedAt = reportedAt;
    entry.hasReport = true;
}

bool PeerTable::isNewer(const PeerUpdate &update, const Entry &known, units::TimePoint now) const
{
    const units::TimePoint reportedAt = now - update.age;
    if (!isLarge())
        return reportedAt > known.reportedAt;
    const units::Duration difference
        = startOf(update, reportedAt) - startOf(known.update, known.reportedAt);
    if (difference >= StartTimeTolerance || difference <= -units::Duration(StartTimeTolerance))
        return difference > units::Duration::zero();
    return update.uptime > known.update.uptime;
}

void PeerTable::markLost(const std::string &ip, units::TimePoint now)
{
    const auto found = entries_.find(ip);
    if (found == entries_.end())
        return;
    Entry &entry = found->second;
    entry.update.uptime += now - entry.reportedAt - units::Duration(LossReportOffset);
    entry.update.state = PeerState::Lost;
    entry.reportedAt = now - LossReportOffset;
    entry.transmitsLeft = TransmitsPerChange;
}

bool PeerTable::isLarge() const
{
    return reportedHosts_ > MaxHostsTimedOutByAge;
}

std::vector<PeerUpdate> PeerTable::takeChanges(std::size_t maxItems, units::TimePoint now,
                                               std::minstd_rand &random)
{
    std::vector<Entry *> changed;
    for (auto &[ip, entry] : entries_) {
        if (entry.transmitsLeft > 0)
            changed.push_back(&entry);
    }
    std::shuffle(changed.begin(), changed.end(), random);
    maxItems = std::min(maxItems, changed.size());
    std::partial_sort(
        changed.begin(), changed.begin() + std::ptrdiff_t(maxItems), changed.end(),
        [](const Entry *a, const Entry *b) { return a->transmitsLeft > b->transmitsLeft; });
    std::vector<PeerUpdate> updates;
    updates.reserve(maxItems);
    for (std::size_t i = 0; i < maxItems; ++i) {
        --changed[i]->transmitsLeft;
        updates.push_back(updateFor(*changed[i], now));
    }
    return updates;
}

std::vector<PeerUpdate> PeerTable::sample(std::size_t maxItems, units::TimePoint now,
                                          std::minstd_rand &random) const
{
    std::vector<const Entry *> live;
    for (const auto &[ip, entry] : entries_) {
        if (isLive(entry, now))
            live.push_back(&entry);
    }
    std::vector<const Entry *> chosen;
    std::sample(live.begin(), live.end(), std::back_inserter(chosen), maxItems, random);
    std::vector<PeerUpdate> updates;
    updates.reserve(chosen.size());
    for (const Entry *entry : chosen)
        updates.push_back(updateFor(*entry, now));
    return updates;
}

PeerUpdate PeerTable::updateFor(const Entry &entry, units::TimePoint now) const
{
    PeerUpdate update = entry.update;
    update.age = now - entry.reportedAt;
    return update;
}

bool PeerTable::isLive(const std::string &ip, units::TimePoint now) const
{
    const auto found = entries_.find(ip);
    return found != entries_.end() && isLive(found->second, now);
}

bool PeerTable::isLive(const Entry &entry, units::TimePoint now) const
{
    if (!entry.hasReport || entry.update.state == PeerState::Lost)
        return false;
    const units::Duration timeout
        = entries_.size() > MaxHostsHeardDirectly ? RelayedLiveTimeout : LiveTimeout;
    return isLarge() || now - entry.reportedAt < timeout;
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
        if (!entry.hasReport || now - entry.reportedAt < LostHostRetention)
            found.push_back(ip);
    }
    return found;
}

} // namespace monsoongrade::routing
