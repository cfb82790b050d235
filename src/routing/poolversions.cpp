#include <monsoongrade/routing/poolversions.h>

namespace monsoongrade::routing {

void PoolVersions::onListed(const units::PoolName &pool,
                            const std::set<units::SoftwareVersion> &versions, units::TimePoint now)
{
    const auto [found, isNew] = pools_.try_emplace(pool);
    Pool &listed = found->second;
    if (isNew || now - listed.listedAt > MaxListGap)
        listed.listedSince = now;
    listed.listedAt = now;
    for (const units::SoftwareVersion &version : versions)
        listed.lastSeenAt[version] = now;
    for (auto seen = listed.lastSeenAt.begin(); seen != listed.lastSeenAt.end();)
        seen = now - seen->second > MaxStreamAge ? listed.lastSeenAt.erase(seen) : std::next(seen);
}

PoolVersionHistory PoolVersions::history(const units::PoolName &pool, units::TimePoint now) const
{
    const auto found = pools_.find(pool);
    if (found == pools_.end() || found->second.lastSeenAt.empty())
        return {};
    const Pool &listed = found->second;
    if (listed.lastSeenAt.size() > 1)
        return {PoolVersionHistory::Kind::SeveralVersions, {}};
    const bool isContinuous
        = now - listed.listedAt <= MaxListGap && now - listed.listedSince >= MaxStreamAge;
    if (!isContinuous)
        return {};
    return {PoolVersionHistory::Kind::OneVersion, listed.lastSeenAt.begin()->first};
}

} // namespace monsoongrade::routing
