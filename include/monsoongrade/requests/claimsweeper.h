#ifndef MONSOONGRADE_REQUESTS_CLAIMSWEEPER_H
#define MONSOONGRADE_REQUESTS_CLAIMSWEEPER_H

#include <monsoongrade/requests/claimstore.h>
#include <monsoongrade/requests/sweepshare.h>

#include <deque>

namespace monsoongrade::requests {

// How fast claims are swept.
struct SweepSettings
{
    // Names are listed by so many of their hash digits.
    int digits = ClaimHashDigits;
    // Between two writes of one sweeper, while the store answers quickly.
    units::Duration writePeriod = std::chrono::milliseconds(160);
    // Grows to this while it doesn't.
    units::Duration longestPause = std::chrono::seconds(30);
    // An answer that takes longer says that the store is loaded; it usually takes milliseconds.
    units::Duration slowAnswer = std::chrono::milliseconds(50);
};

// Keeps this router's claim epoch fresh and, where it is one of the sweepers, raises the epoch and
// removes claims that are old enough. Needs no lease: removing twice, late, or after a lost reply
// is harmless, since each removal names the version that was read and a claim only grows older.
// Calls block. For one thread.
class ClaimSweeper
{
public:
    // start: any number; sweepers with different ones begin at different claims.
    ClaimSweeper(platform::ObjectStore &store, ClaimStore &claims, const units::Clock &clock,
                 observability::Metrics &metrics, const ClaimTimes &times,
                 const SweepSettings &settings, std::uint64_t start);

    // Does what is due, at most one write, and says how long to wait until the next step.
    units::Duration step(const SweepShare &share);

private:
    struct Candidate
    {
        std::string name;
        platform::ObjectVersion version;
        Claim claim;
    };

    void readEpoch();
    void createEpoch();
    void raiseEpoch();
    void list(const SweepShare &share);
    void collect(const std::vector<platform::StoredObject> &objects);
    void sweepOne();
    units::Duration listPeriod(const SweepShare &share) const;
    // Makes one call and learns from it how loaded the store is.
    template <typename Call>
    auto timed(const std::string &what, Call call);

    platform::ObjectStore &store_;
    ClaimStore &claims_;
    const units::Clock &clock_;
    observability::Metrics &metrics_;
    const ClaimTimes times_;
    const SweepSettings settings_;
    std::uint64_t next_;
    units::Duration pause_;
    units::TimePoint nextRead_;
    units::TimePoint nextList_;
    units::TimePoint nextWrite_;
    bool raiseTried_ = false;
    std::deque<Candidate> candidates_;
};

} // namespace monsoongrade::requests

#endif // MONSOONGRADE_REQUESTS_CLAIMSWEEPER_H
