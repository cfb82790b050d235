#include <monsoongrade/duties/lease.h>

#include <algorithm>

namespace monsoongrade::duties {

namespace {

// Renewals by the holder within the lease's duration; several, so that one lost call does no harm.
constexpr int RenewalsInDuration = 3;
// Reads by a candidate within the lease's duration; bounds the delay in noticing a lost holder.
constexpr int ReadsInDuration = 6;
// Retries within the lease's duration after calls without a result.
constexpr int RetriesInDuration = 12;
// The clocks of two hosts may drift apart by 1 / ClockDriftDivisor of the duration.
constexpr int ClockDriftDivisor = 50;

} // namespace

Lease::Lease(Settings settings, units::TimePoint startedAt)
    : settings_(std::move(settings))
    // An earlier process run on this host may have held the lease until just now.
    , mayAcquireFrom_(startedAt + settings_.reacquireDelay)
{
}

bool Lease::isHeldFor(units::TimePoint now, units::Duration within) const
{
    return isOwn() && !isReleasing_ && now + within <= validUntil_;
}

bool Lease::isFree(units::TimePoint now) const
{
    if (now < mayAcquireFrom_)
        return false;
    return known_->record.holder.empty()
        || now >= observedAt_ + settings_.duration + settings_.duration / ClockDriftDivisor;
}

Lease::Step Lease::next(bool isCandidate, units::TimePoint now)
{
    if (now < nextCallAt_ && !(isReleasing_ && isOwn()))
        return {};
    if (isOwn()) {
        const std::string holder = isReleasing_ ? std::string() : settings_.holder;
        return writeStep(Call::Replace, {holder, known_->record.token}, now);
    }
    if (!isCandidate || isReleasing_)
        return {};
    if (known_ && isFree(now)) {
        const FencingToken token(known_->record.token.value() + 1);
        return writeStep(Call::Replace, {settings_.holder, token}, now);
    }
    if (isKnownMissing_ && !known_) {
        isKnownMissing_ = false;
        return writeStep(Call::Create, {settings_.holder, FencingToken(1)}, now);
    }
    nextCallAt_ = now + settings_.duration / ReadsInDuration;
    return {Call::Read, {}, {}};
}

Lease::Step Lease::writeStep(Call call, LeaseRecord record, units::TimePoint now)
{
    // Differs from every earlier write: a write that was executed without an answer could otherwise
    // be mistaken for a later one, and the lease would seem valid for too long.
    record.renewal = std::max(known_ ? known_->record.renewal : 0, lastWrite_.renewal) + 1;
    lastWrite_ = record;
    lastWriteAt_ = now;
    nextCallAt_ = now + settings_.duration / RenewalsInDuration;
    return {call, std::move(record), known_ ? known_->revision : routing::Revision()};
}

void Lease::onResult(const LeaseCallResult &result, units::TimePoint now)
{
    switch (result.outcome) {
    case LeaseCallResult::Outcome::Stored:
        observe(result.stored, now);
        break;
    case LeaseCallResult::Outcome::Missing:
        isKnownMissing_ = !known_;
        nextCallAt_ = isKnownMissing_ ? now : nextCallAt_;
        break;
    case LeaseCallResult::Outcome::Unknown:
        nextCallAt_ = now + settings_.duration / RetriesInDuration;
        break;
    }
}

void Lease::observe(const StoredLease &stored, units::TimePoint now)
{
    if (known_ && stored.revision <= known_->revision)
        return;
    const bool wasOwn = isOwn();
    known_ = stored;
    observedAt_ = now;
    if (isOwn()) {
        // The time of sending is known only for the last write.
        if (stored.record == lastWrite_)
            validUntil_ = lastWriteAt_ + settings_.duration;
    } else if (wasOwn) {
        mayAcquireFrom_ = std::max(mayAcquireFrom_, validUntil_ + settings_.reacquireDelay);
    }
}

} // namespace monsoongrade::duties
