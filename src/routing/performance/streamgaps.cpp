#include <monsoongrade/routing/performance/streamgaps.h>

#include <algorithm>

namespace monsoongrade::routing::performance {

namespace {

bool isSame(const StreamGap &one, const StreamGap &other)
{
    return one.tier == other.tier && one.longest == other.longest;
}

} // namespace

void StreamGaps::add(const StreamGap &gap)
{
    if (gap.longest == units::Duration::zero())
        return;
    const auto found = std::find_if(entries_.begin(), entries_.end(),
                                    [&](const Entry &entry) { return isSame(entry.gap, gap); });
    if (found != entries_.end())
        ++found->streams;
    else
        entries_.push_back({gap, 1});
}

void StreamGaps::remove(const StreamGap &gap)
{
    const auto found = std::find_if(entries_.begin(), entries_.end(),
                                    [&](const Entry &entry) { return isSame(entry.gap, gap); });
    if (found != entries_.end() && --found->streams <= 0)
        entries_.erase(found);
}

units::Duration StreamGaps::smallest(units::Tier tier) const
{
    units::Duration smallest{};
    for (const Entry &entry : entries_) {
        const bool counts = !(tier < entry.gap.tier);
        if (counts && (smallest == units::Duration::zero() || entry.gap.longest < smallest))
            smallest = entry.gap.longest;
    }
    return smallest;
}

} // namespace monsoongrade::routing::performance
