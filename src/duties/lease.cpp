#include <monsoongrade/duties/lease.h>

#include <algorithm>

namespace monsoongrade::duties {

namespace {

// The holder renews this often within the duration, so that one lost call costs nothing.
constexpr int RenewalsInDuration = 3;
// Candidates read this often within the duration, which bounds how late a lost holder is noticed.
constexpr int ReadsInDuration = 6;
// Pauses after a call that told nothing.
constexpr int RetriesInDuration = 12;
// Clocks of two hosts may differ in speed by this share of the duration.
constexpr int ClockShare = 50;

} // namespace

Lease::Lease(Settings settings, units::TimePoint startedAt)
    : settings_(std::move(settings))
    // An earlier life of this host may have held the lease until just before.
    , mayContendFrom_(startedAt + settings_.pauseAfterLoss)
{
}

bool Lease::mayAct(units::TimePoint now, units::Duration within) const
{
    return isOwn() && !isReleasing_ && now + within <= validUntil_;
}

bool Lease::isFree(units::TimePoint now) const
{
    if (now < mayContendFrom_)
        return false;
    return known_->record.holder.empty()
        || now >= seenAt_ + settings_.duration + settings_.duration / ClockShare;
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
    // Never the same as that of an earlier write: one that was executed without an answer would
    // otherwise be taken for a later one, and the lease for younger than it is.
    record.renewal = std::max(known_ ? known_->record.renewal : 0, lastWrite_.renewal) + 1;
    lastWrite_ = record;
    lastWriteAt_ = now;
    nextCallAt_ = now + settings_.duration / RenewalsInDuration;
    return {call, std::move(record), known_ ? known_->revision : routing::Revision()};
}

void Lease::onAnswer(const LeaseCallResult &answer, units::TimePoint now)
{
    switch (answer.outcome) {
    case LeaseCallResult::Outcome::Stored:
        observe(answer.stored, now);
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
    seenAt_ = now;
    if (isOwn()) {
        // Only the last write is known to have been sent at a certain time.
        if (stored.record == lastWrite_)
            validUntil_ = lastWriteAt_ + settings_.duration;
    } else if (wasOwn) {
        mayContendFrom_ = std::max(mayContendFrom_, validUntil_ + settings_.pauseAfterLoss);
    }
}

} // namespace monsoongrade::duties
