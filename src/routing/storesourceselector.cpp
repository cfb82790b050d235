#include <monsoongrade/routing/storesourceselector.h>

#include <algorithm>

namespace monsoongrade::routing {

namespace {

// Exponential backoff between calls to a store that does not respond. The maximum bounds the time
// until the store's return is noticed.
constexpr auto InitialBackoff = std::chrono::milliseconds(100);
constexpr auto MaxBackoff = std::chrono::milliseconds(500);
constexpr int MaxDoublings = 3;
// While the store fails, one call at a time probes whether it is back. A probe without a result
// after this time is considered lost.
constexpr auto ProbeTimeout = std::chrono::milliseconds(3000);
constexpr auto ProbePollInterval = std::chrono::milliseconds(50);
constexpr auto RefusalPeriod = std::chrono::seconds(6);
// A host that did not respond is skipped for this time.
constexpr auto SkipUnresponsiveFor = std::chrono::seconds(4);
constexpr auto SkipWithoutStoreFor = std::chrono::milliseconds(1000);
// A host that stops calling has found another reader.
constexpr auto ReadOnRequestFor = std::chrono::seconds(3);
// A store that lost a single response gives the next one within this time.
constexpr auto TransientFailureTime = std::chrono::milliseconds(250);
// Two consecutive hosts may be unreachable by chance; waiting for a third would take longer than
// the configuration may stay unverified.
constexpr int MaxConsecutiveTimeouts = 2;
// Higher in a large fleet: the lists that hosts would read from the store instead are long, and a
// reader that takes over is called by many hosts at once.
constexpr int MaxConsecutiveTimeoutsInLargeFleet = 4;
// Number of hosts that hold all objects, so that they can take over from a reader without a list.
constexpr std::size_t StandbyHostCount = 18;
constexpr auto ReadWhenIsolatedFor = std::chrono::seconds(3);
// A connection refused sooner than this means that the process is gone, not that the network is.
constexpr auto MinNetworkTimeout = std::chrono::milliseconds(300);
// While no host reaches the store, more hosts try it: it may be refusing only the readers.
constexpr auto WideningInterval = std::chrono::milliseconds(700);
constexpr std::size_t MaxWidening = 3;
// A starting host hears from a running one within milliseconds. When a whole fleet starts, which
// takes up to 300 ms, the seed hosts may be the last to start.
constexpr auto FirstGossipTimeout = std::chrono::milliseconds(320);
constexpr auto FleetStartupTime = std::chrono::milliseconds(4000);
// A fleet that still appears small after this time is small.
constexpr auto SmallFleetDetectionTime = std::chrono::milliseconds(1000);
constexpr auto StartupPollInterval = std::chrono::milliseconds(5);
// In a large fleet the seed hosts may have little bandwidth. By this time enough large hosts are
// known by gossip to read from the store instead.
constexpr auto LargeFleetStartupDelay = std::chrono::milliseconds(700);
constexpr auto LargeFleetPollInterval = std::chrono::milliseconds(50);

StoreSource waitFor(units::Duration time)
{
    StoreSource source;
    source.kind = StoreSource::Kind::Wait;
    source.wait = time;
    return source;
}

StoreSource callHost(const std::string &host, bool waitsForStore)
{
    StoreSource source;
    source.kind = StoreSource::Kind::Host;
    source.host = host;
    source.waitsForStore = waitsForStore;
    return source;
}

bool contains(const std::vector<std::string> &ips, const std::string &ip)
{
    return std::find(ips.begin(), ips.end(), ip) != ips.end();
}

std::set<std::string> keysOf(const std::map<std::string, units::TimePoint> &times)
{
    std::set<std::string> keys;
    for (const auto &[key, time] : times)
        keys.insert(key);
    return keys;
}

void eraseExpired(std::map<std::string, units::TimePoint> &times, units::TimePoint now)
{
    for (auto each = times.begin(); each != times.end();)
        each = now >= each->second ? times.erase(each) : std::next(each);
}

} // namespace

StoreSourceSelector::StoreSourceSelector(std::string ownIp, const std::vector<std::string> &seedIps,
                                         units::TimePoint startedAt)
    : ownIp_(std::move(ownIp))
    , seeds_(seedIps.begin(), seedIps.end())
    , startedAt_(startedAt)
{
}

StoreSource StoreSourceSelector::next(const std::vector<PeerUpdate> &hosts, bool hasContent,
                                      units::TimePoint now)
{
    removeExpired(now);
    if (std::none_of(hosts.begin(), hosts.end(), isKnownFleetWide)
        && now < startedAt_ + FleetStartupTime)
        return nextDuringStartup(hosts, hasContent, now);
    const std::vector<std::string> readers
        = storeReaders(hosts, readerCount(now), keysOf(unresponsiveUntil_));
    isReader_ = hosts.size() <= MaxHostsReadingDirectly || shouldBeReader(readers, now);
    if (isReader_)
        return fromStore(hosts, now);
    StoreSource source = fromHosts(readers, hosts);
    source.wantsAllObjects = isFleetLarge_ && isStandby(hosts);
    return source;
}

// Never reset: a host that left and rejoined the standbys would list all objects each time.
bool StoreSourceSelector::isStandby(const std::vector<PeerUpdate> &hosts)
{
    isStandby_ = isStandby_ || contains(storeReaders(hosts, StandbyHostCount), ownIp_);
    return isStandby_;
}

bool StoreSourceSelector::shouldBeReader(const std::vector<std::string> &readers,
                                         units::TimePoint now) const
{
    if (now < isolatedUntil_)
        return true;
    if (isRefused(now))
        return false;
    return now < requestedUntil_ || contains(readers, ownIp_) || readers.empty();
}

// The whole fleet is starting, or this host is the first to start: the readers can't be computed
// yet, but the same seed hosts are configured everywhere.
StoreSource StoreSourceSelector::nextDuringStartup(const std::vector<PeerUpdate> &hosts,
                                                   bool hasContent, units::TimePoint now)
{
    if (isFleetLarge_)
        return nextDuringLargeFleetStartup(hosts, hasContent, now);
    const bool isAlone = hosts.size() <= 1;
    const bool isWaitOver = now >= startedAt_ + FirstGossipTimeout;
    const bool isSmall
        = hosts.size() <= MaxHostsReadingDirectly && now >= startedAt_ + SmallFleetDetectionTime;
    isReader_ = seeds_.empty() || seeds_.count(ownIp_) != 0 || now < isolatedUntil_
        || now < requestedUntil_ || (isAlone && isWaitOver) || isSmall;
    if (isReader_)
        return fromStore(hosts, now);
    if (!hasContent && !isStaleListUseless_) {
        StoreSource source;
        source.mayBeStale = true;
        return source;
    }
    std::vector<std::string> readers;
    for (const PeerUpdate &host : hosts) {
        if (seeds_.count(host.ip) != 0 && unresponsiveUntil_.count(host.ip) == 0)
            readers.push_back(host.ip);
    }
    if (!readers.empty())
        return fromHosts(std::move(readers), hosts);
    if (!isWaitOver)
        return waitFor(StartupPollInterval);
    isReader_ = true;
    return fromStore(hosts, now);
}

StoreSource StoreSourceSelector::nextDuringLargeFleetStartup(const std::vector<PeerUpdate> &hosts,
                                                             bool hasContent, units::TimePoint now)
{
    if (now < startedAt_ + LargeFleetStartupDelay)
        return waitFor(LargeFleetPollInterval);
    const std::vector<std::string> readers
        = storeReaders(hosts, readerCount(now), keysOf(unresponsiveUntil_));
    isReader_ = shouldBeReader(readers, now);
    if (!isReader_)
        return fromHosts(readers, hosts);
    StoreSource store = fromStore(hosts, now);
    store.mayBeStale
        = store.kind == StoreSource::Kind::Store && !hasContent && !isStaleListUseless_;
    return store;
}

StoreSource StoreSourceSelector::fromStore(const std::vector<PeerUpdate> &hosts,
                                           units::TimePoint now)
{
    StoreSource store;
    store.servesOtherHosts = hosts.size() > MaxHostsReadingDirectly;
    if (storeFailures_ == 0)
        return store;
    const bool mayCall = now >= nextProbeAt_ && (!isProbing_ || now >= probeTimeoutAt_);
    if (mayCall) {
        isProbing_ = true;
        probeTimeoutAt_ = now + ProbeTimeout;
        return store;
    }
    // If another reader reaches the store, the store refuses this host.
    if (store.servesOtherHosts && now >= storeFailingSince_ + TransientFailureTime
        && now >= isolatedUntil_)
        return fromHosts(storeReaders(hosts, readerCount(now), keysOf(unresponsiveUntil_)), hosts);
    return waitFor(isProbing_ ? units::Duration(ProbePollInterval) : nextProbeAt_ - now);
}

StoreSource StoreSourceSelector::fromHosts(std::vector<std::string> readers,
                                           const std::vector<PeerUpdate> &hosts)
{
    readers = readerOrder(ownIp_, std::move(readers), hosts);
    readers.erase(std::remove(readers.begin(), readers.end(), ownIp_), readers.end());
    if (readers.empty())
        return waitFor(StartupPollInterval);
    for (const std::string &host : readers) {
        if (withoutStoreUntil_.count(host) == 0)
            return callHost(host, false);
    }
    // No reader reaches the store. The one called responds when it is back.
    return callHost(readers.front(), true);
}

std::size_t StoreSourceSelector::readerCount(units::TimePoint now) const
{
    if (!unreachableSince_)
        return StoreReaderCount;
    const auto steps = std::size_t((now - *unreachableSince_) / units::Duration(WideningInterval));
    return StoreReaderCount * std::min(1 + steps, MaxWidening);
}

void StoreSourceSelector::onHostAnswered(const std::string &host, units::TimePoint currentAsOf,
                                         units::TimePoint now)
{
    if (storeFailures_ > 0 && currentAsOf > storeFailingSince_)
        onStoreServesOthers(now);
    consecutiveTimeouts_ = 0;
    unreachableSince_.reset();
    withoutStoreUntil_.erase(host);
}

// After an outage, one reader reaches the store before the others. Only a call that fails after
// that shows that the store refuses this host.
void StoreSourceSelector::onStoreServesOthers(units::TimePoint now)
{
    if (!servesOthersSince_) {
        servesOthersSince_ = now;
        nextProbeAt_ = now;
        return;
    }
    if (storeFailedAt_ <= *servesOthersSince_)
        return;
    refusedUntil_ = now + RefusalPeriod;
    servesOthersSince_.reset();
    storeFailures_ = 0;
    isProbing_ = false;
    isReader_ = false;
}

void StoreSourceSelector::onHostWithoutStore(const std::string &host, units::TimePoint now)
{
    consecutiveTimeouts_ = 0;
    withoutStoreUntil_[host] = now + SkipWithoutStoreFor;
    if (!unreachableSince_)
        unreachableSince_ = now;
}

void StoreSourceSelector::onHostTimeout(const std::string &host, units::TimePoint calledAt,
                                        units::TimePoint now)
{
    unresponsiveUntil_[host] = now + SkipUnresponsiveFor;
    const int maxTimeouts
        = isFleetLarge_ ? MaxConsecutiveTimeoutsInLargeFleet : MaxConsecutiveTimeouts;
    if (now - calledAt < MinNetworkTimeout || ++consecutiveTimeouts_ < maxTimeouts)
        return;
    consecutiveTimeouts_ = 0;
    isolatedUntil_ = now + ReadWhenIsolatedFor;
}

void StoreSourceSelector::onStoreAnswered()
{
    storeFailures_ = 0;
    isProbing_ = false;
    servesOthersSince_.reset();
    unreachableSince_.reset();
}

void StoreSourceSelector::onStoreFailed(units::TimePoint now)
{
    isProbing_ = false;
    if (storeFailures_ == 0)
        storeFailingSince_ = now;
    if (!unreachableSince_)
        unreachableSince_ = now;
    const units::Duration backoff = std::min<units::Duration>(
        InitialBackoff * (1 << std::min(storeFailures_, MaxDoublings)), MaxBackoff);
    ++storeFailures_;
    storeFailedAt_ = now;
    nextProbeAt_ = now + backoff;
}

bool StoreSourceSelector::onReadRequested(units::TimePoint now)
{
    if (isRefused(now))
        return false;
    requestedUntil_ = now + ReadOnRequestFor;
    return storeFailures_ == 0 || now < storeFailingSince_ + TransientFailureTime;
}

void StoreSourceSelector::removeExpired(units::TimePoint now)
{
    eraseExpired(unresponsiveUntil_, now);
    eraseExpired(withoutStoreUntil_, now);
}

} // namespace monsoongrade::routing
