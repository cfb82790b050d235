#ifndef MONSOONGRADE_SCHEDULING_RECENTPREFIXES_H
#define MONSOONGRADE_SCHEDULING_RECENTPREFIXES_H

#include <monsoongrade/units/ids.h>

#include <cstddef>
#include <deque>

namespace monsoongrade::scheduling {

// The prefixes that an endpoint saw last, as a guess at what its cache still holds. Bounded:
// the one not used for longest is forgotten, as the engine's limited memory does.
class RecentPrefixes
{
public:
    static constexpr std::size_t Most = 16;

    bool contains(units::PrefixHash prefix) const;
    void use(units::PrefixHash prefix);

private:
    std::deque<units::PrefixHash> newestFirst_;
};

} // namespace monsoongrade::scheduling

#endif // MONSOONGRADE_SCHEDULING_RECENTPREFIXES_H
