#ifndef MONSOONGRADE_REQUESTS_CLAIMEPOCH_H
#define MONSOONGRADE_REQUESTS_CLAIMEPOCH_H

#include <monsoongrade/platform/objectstore.h>
#include <monsoongrade/requests/claimtimes.h>

#include <cstdint>
#include <mutex>
#include <optional>

namespace monsoongrade::requests {

// What this router knows of the claim epoch, a number in the platform's store that counts up and
// gives claims their age. Nobody's wall clock is in it: whoever raises it has seen the same version
// for a whole epoch on its own clock, so clocks that differ or jump make no claim look older than
// it is. Thread-safe.
class ClaimEpoch
{
public:
    static constexpr const char *ObjectName = "claim-epoch";

    struct Known
    {
        std::uint64_t number = 0;
        platform::ObjectVersion version;
    };

    ClaimEpoch(const units::Clock &clock, const ClaimTimes &times);

    // A read that was begun at askedAt has just answered this. An earlier number than one known is
    // a stale read and changes nothing.
    void observe(const Known &read, units::TimePoint askedAt);
    // What a claim taken now is marked with: 0 where no reading is fresh enough.
    std::uint64_t mark() const;
    std::optional<Known> known() const;
    // The epoch has lasted its time, so that it may be raised, by an update on this version only.
    bool mayBeRaised() const;
    bool mayRemove(std::uint64_t claimed) const;

private:
    const units::Clock &clock_;
    const ClaimTimes times_;
    mutable std::mutex mutex_;
    std::optional<Known> known_;
    units::TimePoint askedAt_;
    units::TimePoint firstSeen_;
};

} // namespace monsoongrade::requests

#endif // MONSOONGRADE_REQUESTS_CLAIMEPOCH_H
