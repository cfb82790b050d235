#ifndef MONSOONGRADE_DUTIES_LEASE_H
#define MONSOONGRADE_DUTIES_LEASE_H

#include <monsoongrade/duties/leasestore.h>
#include <monsoongrade/units/clock.h>

#include <optional>
#include <string>

namespace monsoongrade::duties {

// One host's view of an exclusive lease in the platform's store. Decides the next call to the store
// and whether this host holds the lease; makes no calls itself.
//
// The holder measures the lease from when it sent a renewal, all others from when they first
// observed one, which is later. The lease is taken over only by a conditional write, so two hosts
// never hold it at once as long as their clocks, which count suspension, run at about the same
// speed.
class Lease
{
public:
    struct Settings
    {
        std::string holder; // identifies this process run on this host
        units::Duration duration; // validity of the lease after a renewal
        // How long a host that lost the lease, or may have, does not try to acquire it again.
        units::Duration reacquireDelay;
    };

    enum class Call { None, Read, Create, Replace };

    // The store call to make now. At most one call is open at a time.
    struct Step
    {
        Call call = Call::None;
        LeaseRecord record; // with Create and Replace
        routing::Revision expected; // with Replace
    };

    Lease(Settings settings, units::TimePoint startedAt);

    // isCandidate: this host acquires the lease if it is free. The call must be made at once: the
    // validity of the lease is measured from now.
    Step next(bool isCandidate, units::TimePoint now);
    // Handles the result of the last call.
    void onResult(const LeaseCallResult &result, units::TimePoint now);

    // Releases the lease permanently, at a planned stop.
    void release() { isReleasing_ = true; }

    // True if this host is the only holder from now until the end of the given time.
    bool isHeldFor(units::TimePoint now, units::Duration within) const;
    // Token of the last known holder, which is this host's own while it holds the lease.
    FencingToken token() const { return known_ ? known_->record.token : FencingToken(); }
    // The last known holder; empty if there is none.
    std::string holder() const { return known_ ? known_->record.holder : std::string(); }

private:
    bool isOwn() const { return known_ && known_->record.holder == settings_.holder; }
    bool isFree(units::TimePoint now) const;
    Step writeStep(Call call, LeaseRecord record, units::TimePoint now);
    void observe(const StoredLease &stored, units::TimePoint now);

    Settings settings_;
    std::optional<StoredLease> known_;
    bool isKnownMissing_ = false;
    units::TimePoint observedAt_{}; // when known_ was first observed
    units::TimePoint mayAcquireFrom_;
    units::TimePoint validUntil_{}; // of this host's lease
    units::TimePoint nextCallAt_{};
    LeaseRecord lastWrite_;
    units::TimePoint lastWriteAt_{};
    bool isReleasing_ = false;
};

} // namespace monsoongrade::duties

#endif // MONSOONGRADE_DUTIES_LEASE_H
