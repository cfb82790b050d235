#ifndef MONSOONGRADE_DUTIES_LEASE_H
#define MONSOONGRADE_DUTIES_LEASE_H

#include <monsoongrade/duties/leasestore.h>
#include <monsoongrade/units/clock.h>

#include <optional>
#include <string>

namespace monsoongrade::duties {

// One host's view of a lease that one host at a time may hold, kept in the platform's store.
// Decides the next call to the store and whether this host may act as the holder; makes no call
// itself.
//
// The holder counts its time from when it sent a renewal, all others from when they first saw one,
// which is later. Only a conditional write takes the lease over, so two hosts never hold it at once
// as long as their clocks, which count suspension, run at about the same speed.
class Lease
{
public:
    struct Settings
    {
        std::string holder; // this life of this host
        units::Duration duration; // of the lease after a renewal
        // For how long a host that has lost the lease, or may have, leaves it to others.
        units::Duration pauseAfterLoss;
    };

    enum class Call { None, Read, Create, Replace };

    // The call to make now. At most one is open at a time.
    struct Step
    {
        Call call = Call::None;
        LeaseRecord record; // with Create and Replace
        routing::Revision expected; // with Replace
    };

    Lease(Settings settings, units::TimePoint startedAt);

    // isCandidate: this host takes the lease if it is free. The step is to be made at once: its
    // time counts from now on.
    Step next(bool isCandidate, units::TimePoint now);
    // The answer to the last step.
    void onAnswer(const LeaseCallResult &answer, units::TimePoint now);

    // Gives the lease up for good, at a planned stop.
    void release() { isReleasing_ = true; }

    // Whether what is done now and within the given time is done as the only holder.
    bool mayAct(units::TimePoint now, units::Duration within) const;
    // Of this host, while it may act.
    FencingToken token() const { return known_ ? known_->record.token : FencingToken(); }
    // The one who holds the lease as far as known here; empty if none does.
    std::string holder() const { return known_ ? known_->record.holder : std::string(); }

private:
    bool isOwn() const { return known_ && known_->record.holder == settings_.holder; }
    bool isFree(units::TimePoint now) const;
    Step writeStep(Call call, LeaseRecord record, units::TimePoint now);
    void observe(const StoredLease &stored, units::TimePoint now);

    Settings settings_;
    std::optional<StoredLease> known_;
    bool isKnownMissing_ = false;
    units::TimePoint seenAt_{}; // when the known revision was first seen
    units::TimePoint mayContendFrom_;
    units::TimePoint validUntil_{}; // of the own lease
    units::TimePoint nextCallAt_{};
    LeaseRecord lastWrite_;
    units::TimePoint lastWriteAt_{};
    bool isReleasing_ = false;
};

} // namespace monsoongrade::duties

#endif // MONSOONGRADE_DUTIES_LEASE_H
