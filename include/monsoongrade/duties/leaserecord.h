#ifndef MONSOONGRADE_DUTIES_LEASERECORD_H
#define MONSOONGRADE_DUTIES_LEASERECORD_H

#include <monsoongrade/routing/revision.h>
#include <monsoongrade/units/strongnumber.h>

#include <cstdint>
#include <string>

namespace monsoongrade::duties {

// Grows by one with each change of holder. Sent with each call of a duty, so that the platform can
// tell the calls of the present holder from those of earlier ones. 0: not held yet.
using FencingToken = units::StrongNumber<struct FencingTokenTag, std::uint64_t>;

// What the platform's store holds of a lease.
struct LeaseRecord
{
    std::string holder; // one life of one host; empty: released
    FencingToken token; // of the holder, or of the last one
    // Differs in each renewal: the store drops a write that changes nothing.
    std::uint64_t renewal = 0;

    friend bool operator==(const LeaseRecord &a, const LeaseRecord &b)
    {
        return a.holder == b.holder && a.token == b.token && a.renewal == b.renewal;
    }
};

struct StoredLease
{
    LeaseRecord record;
    routing::Revision revision;
};

} // namespace monsoongrade::duties

#endif // MONSOONGRADE_DUTIES_LEASERECORD_H
