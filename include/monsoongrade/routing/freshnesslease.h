#ifndef MONSOONGRADE_ROUTING_FRESHNESSLEASE_H
#define MONSOONGRADE_ROUTING_FRESHNESSLEASE_H

#include <monsoongrade/units/clock.h>

#include <algorithm>

namespace monsoongrade::routing {

// How long the configuration may be used without news from the store. A key that was revoked
// meanwhile would else stay valid on a host that is cut off from the store; past the bound the
// host refuses requests with keys. The clock must count time in suspension.
class FreshnessLease
{
public:
    // bound: time after which a revoked key must not work. margin: see below.
    FreshnessLease(units::Duration bound, units::Duration margin)
        : usable_(bound - margin)
    {
    }

    // The store has shown that no change before this moment is missing here.
    void renew(units::TimePoint at)
    {
        provenAt_ = isProven_ ? std::max(provenAt_, at) : at;
        isProven_ = true;
    }

    bool isFresh(units::TimePoint now) const { return isProven_ && now - provenAt_ < usable_; }
    units::Duration age(units::TimePoint now) const
    {
        return isProven_ ? now - provenAt_ : units::Duration::max();
    }

private:
    units::Duration usable_;
    units::TimePoint provenAt_{};
    bool isProven_ = false;
};

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_FRESHNESSLEASE_H
