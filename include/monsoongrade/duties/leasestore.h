#ifndef MONSOONGRADE_DUTIES_LEASESTORE_H
#define MONSOONGRADE_DUTIES_LEASESTORE_H

#include <monsoongrade/duties/leaserecord.h>

#include <functional>
#include <optional>

namespace monsoongrade::duties {

// What a call told about the lease.
struct LeaseCallResult
{
    enum class Outcome {
        Stored, // the lease as the store holds it, whether or not the call changed it
        Missing, // there is none
        Unknown, // no answer, or one that does not show the lease; a write may have taken effect
    };

    Outcome outcome = Outcome::Unknown;
    StoredLease stored; // with Stored
};

// The object in the platform's store that holds a lease. Each call reports once.
class LeaseStore
{
public:
    using Done = std::function<void(LeaseCallResult)>;

    virtual ~LeaseStore() = default;
    // May return an older state.
    virtual void read(Done done) = 0;
    // Creates the object unless there is one.
    virtual void create(const LeaseRecord &record, Done done) = 0;
    // Replaces the object if its revision is still the given one.
    virtual void replace(const LeaseRecord &record, routing::Revision expected, Done done) = 0;
};

} // namespace monsoongrade::duties

#endif // MONSOONGRADE_DUTIES_LEASESTORE_H
