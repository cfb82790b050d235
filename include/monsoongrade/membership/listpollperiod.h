#ifndef MONSOONGRADE_MEMBERSHIP_LISTPOLLPERIOD_H
#define MONSOONGRADE_MEMBERSHIP_LISTPOLLPERIOD_H

#include <monsoongrade/units/clock.h>

#include <cstddef>

namespace monsoongrade::membership {

// How long a daemon waits between two reads of the host list, which is read whole. Whoever reads a
// change first tells all others, so it is the fleet's reads together that decide how soon a change
// is seen: eight a second up to a hundred hosts on the list, and above that so many fewer that the
// bytes of all reads together stay the same. Readers are the live daemons, so that those of a part
// that is cut off read the oftener; one alone in a large fleet, at most each 30 s or so.
units::Duration listPollPeriod(std::size_t readers, std::size_t listedHosts);

} // namespace monsoongrade::membership

#endif // MONSOONGRADE_MEMBERSHIP_LISTPOLLPERIOD_H
