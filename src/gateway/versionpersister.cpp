#include <monsoongrade/gateway/versionpersister.h>

#include <algorithm>
#include <utility>

namespace monsoongrade::gateway {

namespace {

constexpr auto RoundInterval = std::chrono::milliseconds(50);
// The known hosts change with each round of gossip.
constexpr auto RankInterval = std::chrono::milliseconds(250);
// For all streams of this host together; the store takes 2,000 reads a second from all hosts.
constexpr auto MinPoolReadInterval = std::chrono::milliseconds(150);
// Batches are up to a megabyte.
constexpr auto MinBatchReadInterval = std::chrono::milliseconds(500);
// After a failed call, so that hosts do not add to the load of a store that is overloaded.
constexpr auto RetryDelay = std::chrono::milliseconds(1000);
// A client may resume a stream for as long as its route lets the first attempt run, and a little
// longer.
constexpr auto ResumptionMargin = std::chrono::seconds(5);

} // namespace

VersionPersister::VersionPersister(httpio::Timers &timers, Gateway &gateway,
                                   routing::PoolVersionStore &pools,
                                   routing::StreamVersionStore &streams)
    : timers_(timers)
    , gateway_(gateway)
    , pools_(pools)
    , streams_(streams)
    , ranksHostsAt_(timers.now())
    , mayCallForPoolsAt_(timers.now())
    , maySaveBatchesAt_(timers.now())
    , mayReadPoolsAt_(timers.now())
    , mayReadBatchesAt_(timers.now())
{
}

void VersionPersister::start()
{
    gateway_.state().streamVersions.setStored(*this);
    round();
}

void VersionPersister::round()
{
    timers_.after(RoundInterval, [this] { round(); });
    if (timers_.now() >= ranksHostsAt_) {
        ranksHostsAt_ = timers_.now() + RankInterval;
        writers_ = routing::versionWriters(gateway_.hosts());
        gateway_.state().poolVersions.setStreamAge(longestStream() + ResumptionMargin);
    }
    saveBatch();
    if (openPoolCalls_ > 0 || timers_.now() < mayCallForPoolsAt_)
        return;
    const auto step
        = writer_.next(gateway_.state().poolVersions, resumablePools(), ownRank(), timers_.now());
    if (!step.mustRead) {
        writePools(step.writes);
        return;
    }
    ++openPoolCalls_;
    pools_.readAll([this, startedAt = timers_.now()](auto stored) {
        --openPoolCalls_;
        if (stored)
            writer_.onRead(std::move(*stored), startedAt, timers_.now());
        else
            mayCallForPoolsAt_ = timers_.now() + RetryDelay;
    });
}

void VersionPersister::writePools(const routing::AllStoredPoolVersions &writes)
{
    for (const auto &[pool, versions] : writes) {
        ++openPoolCalls_;
        pools_.write(pool, versions,
                     [this, pool = pool, versions = versions](auto revision) mutable {
                         --openPoolCalls_;
                         if (!revision) {
                             writer_.onWriteFailed();
                             mayCallForPoolsAt_ = timers_.now() + RetryDelay;
                             return;
                         }
                         versions.revision = *revision;
                         writer_.onWritten(pool, std::move(versions));
                     });
    }
}

void VersionPersister::saveBatch()
{
    if (isSavingBatch_ || timers_.now() < maySaveBatchesAt_)
        return;
    const routing::StreamVersionArchive::Step step = archive_.next(ownRing(), timers_.now());
    if (step.mustRead) {
        isSavingBatch_ = true;
        streams_.readStreams(routing::StreamVersionStore::Age::Latest, [this](const auto &stored) {
            isSavingBatch_ = false;
            if (stored)
                archive_.onRead(*stored);
            else
                maySaveBatchesAt_ = timers_.now() + RetryDelay;
        });
    } else if (step.write) {
        isSavingBatch_ = true;
        streams_.writeStreams(
            step.write->first, step.write->second,
            [this, name = step.write->first, batch = step.write->second](auto revision) {
                isSavingBatch_ = false;
                if (revision) {
                    archive_.onWritten(name, *revision);
                    return;
                }
                archive_.onWriteFailed(batch);
                maySaveBatchesAt_ = timers_.now() + RetryDelay;
            });
    }
}

std::optional<std::size_t> VersionPersister::ownRank() const
{
    const auto own = std::find(writers_.begin(), writers_.end(), gateway_.settings().ip);
    if (own == writers_.end())
        return std::nullopt;
    return std::size_t(own - writers_.begin());
}

std::optional<std::size_t> VersionPersister::ownRing() const
{
    const auto rank = ownRank();
    return rank && *rank < routing::StreamVersionArchive::Rings ? rank : std::nullopt;
}

units::Duration VersionPersister::longestStream() const
{
    units::Duration longest{};
    const auto &table = gateway_.state().table;
    if (table == nullptr)
        return longest;
    for (const routing::Route &route : table->configuration().routes) {
        if (route.kind == routing::RouteKind::Stream && route.resumable)
            longest = std::max(longest, route.timeout);
    }
    return longest;
}

std::set<units::PoolName> VersionPersister::resumablePools() const
{
    std::set<units::PoolName> pools;
    const auto &table = gateway_.state().table;
    if (table == nullptr)
        return pools;
    for (const routing::Route &route : table->configuration().routes) {
        if (route.kind != routing::RouteKind::Stream || !route.resumable)
            continue;
        for (const routing::WeightedPool &each : route.pools)
            pools.insert(each.pool);
    }
    return pools;
}

std::string VersionPersister::savingHost(const routing::StreamIdentity &stream) const
{
    const std::size_t rings = std::min(writers_.size(), routing::StreamVersionArchive::Rings);
    return rings == 0 ? std::string() : writers_[routing::digestOf(stream).value() % rings];
}

void VersionPersister::save(const routing::StreamIdentity &stream,
                            const units::SoftwareVersion &version)
{
    // The host that sent the stream here may know other hosts than this one.
    if (ownRing())
        archive_.add(routing::digestOf(stream), version, timers_.now());
}

void VersionPersister::find(const routing::StreamIdentity &stream, const units::PoolName &pool,
                            Found found)
{
    waitingForPools_.push_back({routing::digestOf(stream), pool, std::move(found), {}});
    if (waitingForPools_.size() == 1 && !isReadingPools_)
        timers_.at(std::max(mayReadPoolsAt_, timers_.now()), [this] { readPools(); });
}

void VersionPersister::readPools()
{
    isReadingPools_ = true;
    mayReadPoolsAt_ = timers_.now() + MinPoolReadInterval;
    pools_.readAll([this, lookups = std::exchange(waitingForPools_, {})](const auto &stored) {
        isReadingPools_ = false;
        if (!waitingForPools_.empty())
            timers_.at(std::max(mayReadPoolsAt_, timers_.now()), [this] { readPools(); });
        onPoolsRead(lookups, stored);
    });
}

void VersionPersister::onPoolsRead(std::vector<Lookup> lookups,
                                   const std::optional<routing::AllStoredPoolVersions> &stored)
{
    for (Lookup &lookup : lookups) {
        if (stored) {
            if (const auto found = stored->find(lookup.pool); found != stored->end())
                lookup.result.ofPool = found->second.versions;
        }
        if (lookup.result.ofPool.size() < 2)
            lookup.found(lookup.result);
        else if (!concludeByBatches(lookup))
            waitingForBatches_.push_back(std::move(lookup));
    }
    if (!waitingForBatches_.empty() && !isReadingBatches_)
        readBatches();
}

bool VersionPersister::concludeByBatches(Lookup &lookup) const
{
    lookup.result.version = routing::versionIn(batches_, lookup.stream);
    if (lookup.result.version)
        lookup.found(lookup.result);
    return lookup.result.version.has_value();
}

void VersionPersister::readBatches()
{
    isReadingBatches_ = true;
    timers_.at(std::max(mayReadBatchesAt_, timers_.now()), [this] {
        mayReadBatchesAt_ = timers_.now() + MinBatchReadInterval;
        streams_.readStreams(routing::StreamVersionStore::Age::MayBeStale, [this](auto stored) {
            isReadingBatches_ = false;
            if (stored)
                batches_ = std::move(*stored);
            for (Lookup &lookup : std::exchange(waitingForBatches_, {})) {
                if (!concludeByBatches(lookup))
                    lookup.found(lookup.result);
            }
        });
    });
}

} // namespace monsoongrade::gateway
