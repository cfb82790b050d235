#include <monsoongrade/routing/poolversions.h>

namespace monsoongrade::routing {

void PoolVersions::onListed(const units::PoolName &pool,
                            const std::set<units::SoftwareVersion> &versions, units::TimePoint now)
{
    Pool &listed = pools_[pool];
    if (!listed.isListed || now - listed.listedAt > MaxListGap)
        listed.listedSince = now;
    listed.isListed = true;
    listed.listedAt = now;
    onSeen(pool, versions, now);
}

void PoolVersions::onSeen(const units::PoolName &pool,
                          const std::set<units::SoftwareVersion> &versions, units::TimePoint now)
{
    std::map<units::SoftwareVersion, Version> &known = pools_[pool].versions;
    for (auto each = known.begin(); each != known.end();)
        each = now - each->second.seenAt > streamAge_ ? known.erase(each) : std::next(each);
    for (const units::SoftwareVersion &version : versions)
        known.try_emplace(version, Version{now, now}).first->second.seenAt = now;
}

PoolVersionHistory PoolVersions::history(const units::PoolName &pool, units::TimePoint now) const
{
    const Recent seen = recent(pool, now);
    if (seen.appearedAt.empty())
        return {};
    if (seen.appearedAt.size() > 1)
        return {PoolVersionHistory::Kind::SeveralVersions, {}};
    return {seen.isComplete ? PoolVersionHistory::Kind::OneVersion
                            : PoolVersionHistory::Kind::Unknown,
            seen.appearedAt.begin()->first};
}

PoolVersions::Recent PoolVersions::recent(const units::PoolName &pool, units::TimePoint now) const
{
    Recent result;
    const auto found = pools_.find(pool);
    if (found == pools_.end())
        return result;
    const Pool &known = found->second;
    for (const auto &[version, times] : known.versions) {
        if (now - times.seenAt <= streamAge_)
            result.appearedAt.emplace(version, times.appearedAt);
    }
    result.isComplete = known.isListed && now - known.listedAt <= MaxListGap
        && now - known.listedSince >= streamAge_;
    return result;
}

bool PoolVersions::hasSeveralVersions(units::TimePoint now) const
{
    return std::any_of(pools_.begin(), pools_.end(), [&](const auto &pool) {
        return recent(pool.first, now).appearedAt.size() > 1;
    });
}

} // namespace monsoongrade::routing
