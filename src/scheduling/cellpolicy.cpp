#include <monsoongrade/scheduling/cellpolicy.h>

#include <algorithm>
#include <set>

namespace monsoongrade::scheduling {

namespace {

std::set<units::Tier> tiersOf(const CellPolicy &policy)
{
    std::set<units::Tier> tiers;
    for (const auto &entry : policy.classes)
        tiers.insert(entry.second.tier);
    return tiers;
}

} // namespace

units::Tier CellPolicy::tierOf(const units::ClassName &className) const
{
    const auto found = classes.find(className);
    if (found != classes.end())
        return found->second.tier;
    units::Tier lowest;
    for (const auto &entry : classes)
        lowest = std::max(lowest, entry.second.tier);
    return lowest;
}

units::Duration CellPolicy::longestWait(const units::ClassName &className) const
{
    const auto found = classes.find(className);
    return found == classes.end() ? ClassPolicy().maxWait : found->second.maxWait;
}

units::Tier CellPolicy::highestTier() const
{
    const std::set<units::Tier> tiers = tiersOf(*this);
    return tiers.empty() ? units::Tier() : *tiers.begin();
}

std::optional<units::Duration> CellPolicy::highestTierTarget() const
{
    if (lowerTiers() == 0)
        return std::nullopt;
    const units::Tier highest = highestTier();
    units::Duration shortest = units::Duration::max();
    for (const auto &entry : classes) {
        if (entry.second.tier == highest)
            shortest = std::min(shortest, entry.second.firstTokenTarget);
    }
    return shortest;
}

int CellPolicy::lowerTiers() const
{
    return std::max(0, static_cast<int>(tiersOf(*this).size()) - 1);
}

std::size_t CellPolicy::reservedPlaces(units::Tier tier) const
{
    const std::set<units::Tier> tiers = tiersOf(*this);
    if (tiers.size() < 2 || tier == *tiers.begin() || tiers.count(tier) == 0)
        return 0;
    return static_cast<std::size_t>(static_cast<double>(queueLimit) * guaranteedShare
                                    / static_cast<double>(tiers.size() - 1));
}

} // namespace monsoongrade::scheduling
