#ifndef MONSOONGRADE_REQUESTS_CLAIMTIMES_H
#define MONSOONGRADE_REQUESTS_CLAIMTIMES_H

#include <monsoongrade/units/clock.h>

#include <algorithm>
#include <cstdint>

namespace monsoongrade::requests {

// How long claims are kept, and what follows from it. The promise: two runs of one key begin at
// least `kept` apart. The arithmetic, with E for an epoch: a claim's run begins at most sendWithin
// after its writer began to claim, and the epoch that it wrote was read at most freshFor before
// that, from a read that may have been one epoch stale. Removal at RemovableAfter epochs later is
// then at least 13 E - sendWithin - freshFor >= 12 E = kept after the run began.
struct ClaimTimes
{
    units::Duration kept = std::chrono::hours(24);

    static constexpr std::uint64_t RemovableAfter = 15;

    // An epoch lasts at least so long.
    units::Duration epoch() const { return kept / 12; }
    // A request whose claim is older is not sent. Bounded whatever `kept` is, so that routers whose
    // setting differs for a while still agree that no request is sent after its claim may be gone.
    units::Duration sendWithin() const
    {
        return std::min<units::Duration>(epoch() / 2, std::chrono::minutes(10));
    }
    // A reading of the epoch that is older is not written into a claim.
    units::Duration freshFor() const
    {
        return std::min<units::Duration>(epoch() / 4, std::chrono::minutes(2));
    }
    units::Duration readPeriod() const { return freshFor() / 4; }
};

} // namespace monsoongrade::requests

#endif // MONSOONGRADE_REQUESTS_CLAIMTIMES_H
