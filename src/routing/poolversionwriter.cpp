#include <monsoongrade/routing/poolversionwriter.h>

#include <algorithm>

namespace monsoongrade::routing {

namespace {

// A write takes 4 ms, and the hosts learn of a change within some ms of each other.
constexpr auto DelayPerRank = std::chrono::milliseconds(150);
// A host whose list lacks a version is out of step for a shorter time.
constexpr auto RewriteTime = 2 * PoolVersions::MaxListGap;

} // namespace

std::vector<std::string> versionWriters(const std::vector<PeerUpdate> &hosts)
{
    std::vector<std::string> writers;
    for (const PeerUpdate &host : hosts) {
        const bool isRunning = host.state != PeerState::Leaving && host.state != PeerState::Lost;
        if (isRunning && host.storeReachableFor > units::Duration::zero() && !host.isStoreRefused)
            writers.push_back(host.ip);
    }
    std::sort(writers.begin(), writers.end());
    writers.resize(std::min(writers.size(), VersionWriters));
    return writers;
}

PoolVersionWriter::Step PoolVersionWriter::next(const PoolVersions &seen,
                                                const std::set<units::PoolName> &pools,
                                                std::optional<std::size_t> rank,
                                                units::TimePoint now)
{
    if (rank != 0U)
        absentSince_.clear();
    if (!rank) {
        stored_.reset();
        return {};
    }
    Step step;
    for (const units::PoolName &pool : pools) {
        const PoolVersions::Recent recent = seen.recent(pool, now);
        if (recent.appearedAt.empty())
            continue;
        const units::TimePoint newest
            = std::max_element(recent.appearedAt.begin(), recent.appearedAt.end(),
                               [](const auto &a, const auto &b) { return a.second < b.second; })
                  ->second;
        if (now - newest < units::Duration(DelayPerRank) * int(*rank))
            continue;
        if (!stored_ || readAt_ < newest) {
            step.mustRead = true;
            continue;
        }
        StoredPoolVersions next;
        if (const auto found = stored_->find(pool); found != stored_->end())
            next = found->second;
        // What replaces it must name all versions whose streams may be resumed.
        if (!next.isReadable && !recent.isComplete)
            continue;
        next.isReadable = true;
        const std::set<units::SoftwareVersion> before = next.versions;
        for (const auto &[version, appearedAt] : recent.appearedAt)
            next.versions.insert(version);
        if (*rank == 0) {
            for (const units::SoftwareVersion &version : removable(pool, seen, recent, now))
                next.versions.erase(version);
        }
        const auto written = writtenUntil_.find(pool);
        const bool isWritten = written != writtenUntil_.end() && written->second >= newest;
        const bool isRecent = now - newest < RewriteTime;
        if (next.versions == before && (isWritten || !isRecent))
            continue;
        ++next.update;
        writing_[pool] = newest;
        step.writes.emplace(pool, std::move(next));
    }
    return step;
}

// A version that this host has not seen is removed no sooner than streams are over that began
// before it was found in the store: it may have served while this host was out of step.
std::set<units::SoftwareVersion> PoolVersionWriter::removable(const units::PoolName &pool,
                                                              const PoolVersions &seen,
                                                              const PoolVersions::Recent &recent,
                                                              units::TimePoint now)
{
    std::set<units::SoftwareVersion> result;
    const auto known = knownSince_.find(pool);
    if (known == knownSince_.end())
        return result;
    for (const auto &[version, since] : known->second) {
        std::map<units::SoftwareVersion, units::TimePoint> &absent = absentSince_[pool];
        if (recent.appearedAt.count(version) != 0) {
            absent.erase(version);
            continue;
        }
        const units::TimePoint absentSince = absent.try_emplace(version, now).first->second;
        const bool isOver
            = now - since >= seen.streamAge() && now - absentSince >= PoolVersions::MaxListGap;
        if (isOver && recent.isComplete)
            result.insert(version);
    }
    return result;
}

void PoolVersionWriter::onRead(AllStoredPoolVersions stored, units::TimePoint startedAt,
                               units::TimePoint now)
{
    for (const auto &[pool, each] : stored) {
        std::map<units::SoftwareVersion, units::TimePoint> known;
        for (const units::SoftwareVersion &version : each.versions) {
            const auto earlier = knownSince_[pool].find(version);
            known[version] = earlier == knownSince_[pool].end() ? now : earlier->second;
        }
        knownSince_[pool] = std::move(known);
    }
    stored_ = std::move(stored);
    readAt_ = startedAt;
}

void PoolVersionWriter::onWritten(const units::PoolName &pool, StoredPoolVersions written)
{
    writtenUntil_[pool] = writing_[pool];
    std::map<units::SoftwareVersion, units::TimePoint> &known = knownSince_[pool];
    for (auto each = known.begin(); each != known.end();)
        each = written.versions.count(each->first) == 0 ? known.erase(each) : std::next(each);
    for (const units::SoftwareVersion &version : written.versions)
        known.try_emplace(version, readAt_);
    if (stored_)
        (*stored_)[pool] = std::move(written);
}

} // namespace monsoongrade::routing
