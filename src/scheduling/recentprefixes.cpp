#include <monsoongrade/scheduling/recentprefixes.h>

#include <algorithm>

namespace monsoongrade::scheduling {

bool RecentPrefixes::contains(units::PrefixHash prefix) const
{
    return std::find(newestFirst_.begin(), newestFirst_.end(), prefix) != newestFirst_.end();
}

void RecentPrefixes::use(units::PrefixHash prefix)
{
    if (prefix == units::PrefixHash())
        return;
    const auto found = std::find(newestFirst_.begin(), newestFirst_.end(), prefix);
    if (found != newestFirst_.end())
        newestFirst_.erase(found);
    newestFirst_.push_front(prefix);
    if (newestFirst_.size() > Most)
        newestFirst_.pop_back();
}

} // namespace monsoongrade::scheduling
