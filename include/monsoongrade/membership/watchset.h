#ifndef MONSOONGRADE_MEMBERSHIP_WATCHSET_H
#define MONSOONGRADE_MEMBERSHIP_WATCHSET_H

#include <monsoongrade/membership/memberrecord.h>

#include <cstddef>
#include <vector>

namespace monsoongrade::membership {

// The few members that one daemon probes and passes news to: its next ones on a ring ordered by
// hash, so that every member has as many watchers, and some drawn by hash, so that news cross
// the fleet in a few steps. The same few each time keep the number of connections flat.
std::vector<MemberId> watchSet(const MemberId &self, const std::vector<MemberId> &others,
                               std::size_t ringNeighbours, std::size_t randomNeighbours);

} // namespace monsoongrade::membership

#endif // MONSOONGRADE_MEMBERSHIP_WATCHSET_H
