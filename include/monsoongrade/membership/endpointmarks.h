#ifndef MONSOONGRADE_MEMBERSHIP_ENDPOINTMARKS_H
#define MONSOONGRADE_MEMBERSHIP_ENDPOINTMARKS_H

#include <monsoongrade/membership/endpointmark.h>
#include <monsoongrade/platform/hostlist.h>
#include <monsoongrade/units/clock.h>

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace monsoongrade::membership {

// Hosts that are leaving, and endpoint hosts that are suspected: the union of this daemon's reads
// of the host list and of what other daemons tell. Entry hosts have marks too, since most daemons
// read the list too seldom to see in time which of them are leaving.
class EndpointMarks
{
public:
    explicit EndpointMarks(units::Duration listLagBound);

    // Returns the marks that this read changed and that others should hear of. A host that the
    // list calls leaving is marked at once. The mark goes only after every read has said live for
    // listLagBound: an older read of the list would otherwise bring new work to a host that is
    // on its way out, and no read can be older than that.
    std::vector<EndpointMark> applyList(const std::vector<platform::Host> &hosts,
                                        units::TimePoint now);
    // Marks a host as suspected or as answering again; never overrules leaving. Returns whether
    // the mark changed.
    bool setSuspected(const units::HostName &host, bool suspected);
    // Takes over news that overrule what is known; tells whether the mark changed. A host that
    // the last read calls leaving stays so, in an epoch that overrules the news: whoever called
    // it live may have seen an older list.
    bool merge(const EndpointMark &news);

    // Within what time of the last read the list should be read again, where a mark waits for it:
    // a host seen live is free only after a second read, and whoever overruled another by its own
    // last read must see whether that still holds.
    std::optional<units::Duration> nextReadWithin() const;

    const std::map<units::HostName, EndpointMark> &all() const { return marks_; }
    std::set<units::HostName> leaving() const;
    std::set<units::HostName> suspected() const;

private:
    std::set<units::HostName> withState(EndpointState state) const;

    units::Duration listLagBound_;
    std::map<units::HostName, EndpointMark> marks_;
    // What the last read called leaving.
    std::set<units::HostName> listedLeaving_;
    // Since when each read of the list has called the host live.
    std::map<units::HostName, units::TimePoint> liveSince_;
    // News were overruled since the last read.
    bool overruled_ = false;
};

} // namespace monsoongrade::membership

#endif // MONSOONGRADE_MEMBERSHIP_ENDPOINTMARKS_H
