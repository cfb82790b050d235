#include <monsoongrade/requests/claimepoch.h>

namespace monsoongrade::requests {

ClaimEpoch::ClaimEpoch(const units::Clock &clock, const ClaimTimes &times)
    : clock_(clock)
    , times_(times)
{
}

void ClaimEpoch::observe(const Known &read, units::TimePoint askedAt)
{
    const std::lock_guard lock(mutex_);
    if (known_ && read.number < known_->number)
        return;
    if (!known_ || read.version != known_->version) {
        known_ = read;
        firstSeen_ = clock_.now();
    }
    askedAt_ = askedAt;
}

// A mark that is too old would let the claim be removed before its time; without a mark the claim
// waits until a sweeper has marked it.
std::uint64_t ClaimEpoch::mark() const
{
    const std::lock_guard lock(mutex_);
    const bool isFresh = known_ && clock_.now() - askedAt_ < times_.freshFor();
    return isFresh ? known_->number : 0;
}

std::optional<ClaimEpoch::Known> ClaimEpoch::known() const
{
    const std::lock_guard lock(mutex_);
    return known_;
}

bool ClaimEpoch::mayBeRaised() const
{
    const std::lock_guard lock(mutex_);
    return known_ && clock_.now() - firstSeen_ >= times_.epoch();
}

bool ClaimEpoch::mayRemove(std::uint64_t claimed) const
{
    const std::lock_guard lock(mutex_);
    return known_ && claimed != 0 && known_->number >= claimed + ClaimTimes::RemovableAfter;
}

} // namespace monsoongrade::requests
