#ifndef MONSOONGRADE_DUTIES_LEASERECORD_H
#define MONSOONGRADE_DUTIES_LEASERECORD_H

#include <monsoongrade/routing/revision.h>
#include <monsoongrade/units/strongnumber.h>

#include <cstdint>
#include <string>

namespace monsoongrade::duties {

// Incremented with each change of holder. Sent with each call of a duty, so that the platform can
// tell the current holder's calls from those of earlier ones. 0: never held.
using FencingToken = units::StrongNumber<struct FencingTokenTag, std::uint64_t>;

// Content of the lease object in the platform's store.
struct LeaseRecord
{
    std::string holder; // one process run on one host; empty if released
    FencingToken token; // of the current or last holder
    // Differs with each renewal, because the store ignores a write that changes nothing.
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
