#include <monsoongrade/routing/storesourceselector.h>

#include <algorithm>

namespace monsoongrade::routing {

namespace {

// Pauses between calls to a store that does not answer: doubled from the first to the longest. The
// longest is what the store's return may cost until it is noticed.
constexpr auto FirstPause = std::chrono::milliseconds(100);
constexpr auto MaxPause = std::chrono::milliseconds(500);
constexpr int MaxDoublings = 3;
// While the store fails, one call at a time shows whether it is back. A probe that has not ended by
// now is one whose end was never told.
constexpr auto ProbeEndsWithin = std::chrono::milliseconds(3000);
constexpr auto ProbePoll = std::chrono::milliseconds(50);
constexpr auto RefusedFor = std::chrono::seconds(6);
// A host that did not answer is asked again after this time, if it is still a reader.
constexpr auto AvoidSilentFor = std::chrono::seconds(4);
constexpr auto AvoidWithoutStoreFor = std::chrono::milliseconds(1000);
// An asker that stops asking has found another reader.
constexpr auto ReadForAskersFor = std::chrono::seconds(3);
// A store that lost one answer gives the next one within this time.
constexpr auto SoonBack = std::chrono::milliseconds(250);
// Two lost hosts in a row can be bad luck with the path to them; waiting for a third would take
// longer than the configuration may go without a proof.
constexpr int MaxSilentInRow = 2;
// In a large fleet the lists that the hosts would read instead are long, and a reader that takes
// over has many askers at once.
constexpr int MaxSilentInRowOfLargeFleet = 4;
// Hosts that hold all objects, so that one can take over from a reader without reading a list.
constexpr std::size_t HostsStandingBy = 18;
constexpr auto AloneFor = std::chrono::seconds(3);
// A refused connection shows at once that a process is gone, and says nothing about the path.
constexpr auto SilenceOfPath = std::chrono::milliseconds(300);
// While nobody has the store, more hosts try it: the store may be turning away just the readers.
constexpr auto WidenAfter = std::chrono::milliseconds(700);
constexpr std::size_t MaxWidening = 3;
// A starting host hears from a running one within milliseconds. Where a whole fleet starts, within
// 300 ms, the hosts that the settings name may be the last.
constexpr auto WaitForFirstNews = std::chrono::milliseconds(320);
constexpr auto StartingTogether = std::chrono::milliseconds(4000);
// Beyond this, a fleet that is known to be small is one.
constexpr auto SmallFleetShows = std::chrono::milliseconds(1000);
constexpr auto StartPoll = std::chrono::milliseconds(5);
// In a large fleet the hosts that the settings name may have small links. By this time the gossip
// has told of enough large hosts to read instead.
constexpr auto LargeHostsShow = std::chrono::milliseconds(700);
constexpr auto LargeStartPoll = std::chrono::milliseconds(50);

StoreSource waitFor(units::Duration time)
{
    StoreSource source;
    source.kind = StoreSource::Kind::Wait;
    source.wait = time;
    return source;
}

StoreSource askHost(const std::string &host, bool isPatient)
{
    StoreSource source;
    source.kind = StoreSource::Kind::Host;
    source.host = host;
    source.waitsForStore = isPatient;
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

void eraseOld(std::map<std::string, units::TimePoint> &times, units::TimePoint now)
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
    forgetOld(now);
    if (std::none_of(hosts.begin(), hosts.end(), isKnownFleetWide)
        && now < startedAt_ + StartingTogether)
        return whileStarting(hosts, hasContent, now);
    const std::vector<std::string> readers
        = storeReaders(hosts, readersNow(now), keysOf(silentUntil_));
    isReader_ = hosts.size() <= MaxHostsReadingDirectly || shouldRead(readers, now);
    if (isReader_)
        return fromStore(hosts, now);
    StoreSource source = fromHosts(readers, hosts);
    source.wantsAllObjects = isFleetLarge_ && standsBy(hosts);
    return source;
}

// Stays so: a host that left and came back would list all objects each time.
bool StoreSourceSelector::standsBy(const std::vector<PeerUpdate> &hosts)
{
    standsBy_ = standsBy_ || contains(storeReaders(hosts, HostsStandingBy), ownIp_);
    return standsBy_;
}

bool StoreSourceSelector::shouldRead(const std::vector<std::string> &readers,
                                     units::TimePoint now) const
{
    if (now < aloneUntil_)
        return true;
    if (isRefused(now))
        return false;
    return now < askedUntil_ || contains(readers, ownIp_) || readers.empty();
}

// The fleet starts as a whole, or this host is the first to start: nobody can say who reads, but
// the settings name the same few hosts to all.
StoreSource StoreSourceSelector::whileStarting(const std::vector<PeerUpdate> &hosts,
                                               bool hasContent, units::TimePoint now)
{
    if (isFleetLarge_)
        return whileLargeFleetStarts(hosts, hasContent, now);
    const bool isAlone = hosts.size() <= 1;
    const bool isWaitOver = now >= startedAt_ + WaitForFirstNews;
    const bool isSmall
        = hosts.size() <= MaxHostsReadingDirectly && now >= startedAt_ + SmallFleetShows;
    isReader_ = seeds_.empty() || seeds_.count(ownIp_) != 0 || now < aloneUntil_
        || now < askedUntil_ || (isAlone && isWaitOver) || isSmall;
    if (isReader_)
        return fromStore(hosts, now);
    if (!hasContent && !isStaleListUseless_) {
        StoreSource source;
        source.mayBeStale = true;
        return source;
    }
    std::vector<std::string> readers;
    for (const PeerUpdate &host : hosts) {
        if (seeds_.count(host.ip) != 0 && silentUntil_.count(host.ip) == 0)
            readers.push_back(host.ip);
    }
    if (!readers.empty())
        return fromHosts(std::move(readers), hosts);
    if (!isWaitOver)
        return waitFor(StartPoll);
    isReader_ = true;
    return fromStore(hosts, now);
}

StoreSource StoreSourceSelector::whileLargeFleetStarts(const std::vector<PeerUpdate> &hosts,
                                                       bool hasContent, units::TimePoint now)
{
    if (now < startedAt_ + LargeHostsShow)
        return waitFor(LargeStartPoll);
    const std::vector<std::string> readers
        = storeReaders(hosts, readersNow(now), keysOf(silentUntil_));
    isReader_ = shouldRead(readers, now);
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
    const bool mayCall = now >= nextProbeAt_ && (!isProbing_ || now >= probeEndsBy_);
    if (mayCall) {
        isProbing_ = true;
        probeEndsBy_ = now + ProbeEndsWithin;
        return store;
    }
    // Another reader may have the store, which shows that it turns this host away.
    if (store.servesOtherHosts && now >= storeFailingSince_ + SoonBack && now >= aloneUntil_)
        return fromHosts(storeReaders(hosts, readersNow(now), keysOf(silentUntil_)), hosts);
    return waitFor(isProbing_ ? units::Duration(ProbePoll) : nextProbeAt_ - now);
}

StoreSource StoreSourceSelector::fromHosts(std::vector<std::string> readers,
                                           const std::vector<PeerUpdate> &hosts)
{
    readers = readerOrder(ownIp_, std::move(readers), hosts);
    readers.erase(std::remove(readers.begin(), readers.end(), ownIp_), readers.end());
    if (readers.empty())
        return waitFor(StartPoll);
    for (const std::string &host : readers) {
        if (withoutStoreUntil_.count(host) == 0)
            return askHost(host, false);
    }
    // All have lost it. The one asked answers when it is back.
    return askHost(readers.front(), true);
}

std::size_t StoreSourceSelector::readersNow(units::TimePoint now) const
{
    if (!nothingSince_)
        return StoreReaderCount;
    const auto steps = std::size_t((now - *nothingSince_) / units::Duration(WidenAfter));
    return StoreReaderCount * std::min(1 + steps, MaxWidening);
}

void StoreSourceSelector::onHostAnswered(const std::string &host, units::TimePoint provenAt,
                                         units::TimePoint now)
{
    if (storeFailures_ > 0 && provenAt > storeFailingSince_) {
        refusedUntil_ = now + RefusedFor;
        storeFailures_ = 0;
        isProbing_ = false;
        isReader_ = false;
    }
    silentInRow_ = 0;
    nothingSince_.reset();
    withoutStoreUntil_.erase(host);
}

void StoreSourceSelector::onHostWithoutStore(const std::string &host, units::TimePoint now)
{
    silentInRow_ = 0;
    withoutStoreUntil_[host] = now + AvoidWithoutStoreFor;
    if (!nothingSince_)
        nothingSince_ = now;
}

void StoreSourceSelector::onHostTimeout(const std::string &host, units::TimePoint calledAt,
                                        units::TimePoint now)
{
    silentUntil_[host] = now + AvoidSilentFor;
    const int maxSilent = isFleetLarge_ ? MaxSilentInRowOfLargeFleet : MaxSilentInRow;
    if (now - calledAt < SilenceOfPath || ++silentInRow_ < maxSilent)
        return;
    silentInRow_ = 0;
    aloneUntil_ = now + AloneFor;
}

void StoreSourceSelector::onStoreAnswered()
{
    storeFailures_ = 0;
    isProbing_ = false;
    nothingSince_.reset();
}

void StoreSourceSelector::onStoreFailed(units::TimePoint now)
{
    isProbing_ = false;
    if (storeFailures_ == 0)
        storeFailingSince_ = now;
    if (!nothingSince_)
        nothingSince_ = now;
    const units::Duration pause = std::min<units::Duration>(
        FirstPause * (1 << std::min(storeFailures_, MaxDoublings)), MaxPause);
    ++storeFailures_;
    nextProbeAt_ = now + pause;
}

bool StoreSourceSelector::onReadRequested(units::TimePoint now)
{
    if (isRefused(now))
        return false;
    askedUntil_ = now + ReadForAskersFor;
    return storeFailures_ == 0 || now < storeFailingSince_ + SoonBack;
}

void StoreSourceSelector::forgetOld(units::TimePoint now)
{
    eraseOld(silentUntil_, now);
    eraseOld(withoutStoreUntil_, now);
}

} // namespace monsoongrade::routing
