#ifndef MONSOONGRADE_MEMBERSHIP_RENDEZVOUS_H
#define MONSOONGRADE_MEMBERSHIP_RENDEZVOUS_H

#include <monsoongrade/membership/member.h>

#include <string>
#include <vector>

namespace monsoongrade::membership {

// Orders the members for a cell by rendezvous hashing: the first is its scheduler, the second
// takes over when the first is gone. All who know the same members get the same order without
// asking anybody, and a host that goes moves only its own cells.
std::vector<Member> rendezvousOrder(const std::string &cell, std::vector<Member> members);

} // namespace monsoongrade::membership

#endif // MONSOONGRADE_MEMBERSHIP_RENDEZVOUS_H
