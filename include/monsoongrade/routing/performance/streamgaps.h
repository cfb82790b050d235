#ifndef MONSOONGRADE_ROUTING_PERFORMANCE_STREAMGAPS_H
#define MONSOONGRADE_ROUTING_PERFORMANCE_STREAMGAPS_H

#include <monsoongrade/units/clock.h>
#include <monsoongrade/units/ids.h>

#include <vector>

namespace monsoongrade::routing::performance {

// The longest gap between events of a stream that is still on time; 0: not a stream.
struct StreamGap
{
    units::Tier tier;
    units::Duration longest{};
};

// Counts the open streams of an endpoint by tier and longest permitted event gap.
class StreamGaps
{
public:
    void add(const StreamGap &gap);
    void remove(const StreamGap &gap);
    // The smallest gap of the streams whose tier is the same as or higher than the given one; 0 if
    // there are none.
    units::Duration smallest(units::Tier tier) const;

private:
    struct Entry
    {
        StreamGap gap;
        int streams = 0;
    };
    // A pool serves a few classes of requests, so a search is faster than a map.
    std::vector<Entry> entries_;
};

} // namespace monsoongrade::routing::performance

#endif // MONSOONGRADE_ROUTING_PERFORMANCE_STREAMGAPS_H
