#ifndef MONSOONGRADE_DUTIES_LEASESTORE_H
#define MONSOONGRADE_DUTIES_LEASESTORE_H

#include <monsoongrade/duties/leaserecord.h>

#include <functional>
#include <optional>

namespace monsoongrade::duties {

// Result of a call to the lease store.
struct LeaseCallResult
{
    enum class Outcome {
        Stored, // the lease now in the store, whether or not the call changed it
        Missing, // the lease object does not exist
        Unknown, // no answer, or one without the lease; a write may have taken effect
    };

    Outcome outcome = Outcome::Unknown;
    StoredLease stored; // with Stored
};

// Access to the lease object in the platform's store. Each callback runs once.
class LeaseStore
{
public:
    using Done = std::function<void(LeaseCallResult)>;

    virtual ~LeaseStore() = default;
    // May return a stale state.
    virtual void read(Done done) = 0;
    // Creates the object unless it exists.
    virtual void create(const LeaseRecord &record, Done done) = 0;
    // Replaces the object if its revision is the expected one.
    virtual void replace(const LeaseRecord &record, routing::Revision expected, Done done) = 0;
};

} // namespace monsoongrade::duties

#endif // MONSOONGRADE_DUTIES_LEASESTORE_H
