#ifndef MONSOONGRADE_ROUTING_FRESHNESSLEASE_H
#define MONSOONGRADE_ROUTING_FRESHNESSLEASE_H

#include <monsoongrade/units/clock.h>

#include <algorithm>

namespace monsoongrade::routing {

// Limits how long the configuration may be used without contact with the store. Otherwise a key
// that was revoked in the meantime would stay valid on a host that is cut off from the store; after
// the limit the host refuses requests with keys. The clock must include time in system suspend.
class FreshnessLease
{
public:
    // bound: time after which a revoked key must no longer work. margin: part of it that the lease
    // leaves unused.
    FreshnessLease(units::Duration bound, units::Duration margin)
        : duration_(bound - margin)
    {
    }

    // The store has confirmed that no change made before this time is missing here.
    void renew(units::TimePoint at)
    {
        renewedAt_ = isRenewed_ ? std::max(renewedAt_, at) : at;
        isRenewed_ = true;
    }

    bool isFresh(units::TimePoint now) const { return isRenewed_ && now - renewedAt_ < duration_; }
    units::Duration age(units::TimePoint now) const
    {
        return isRenewed_ ? now - renewedAt_ : units::Duration::max();
    }

private:
    units::Duration duration_;
    units::TimePoint renewedAt_{};
    bool isRenewed_ = false;
};

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_FRESHNESSLEASE_H
