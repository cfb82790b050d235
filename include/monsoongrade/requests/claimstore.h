#ifndef MONSOONGRADE_REQUESTS_CLAIMSTORE_H
#define MONSOONGRADE_REQUESTS_CLAIMSTORE_H

#include <monsoongrade/observability/metrics.h>
#include <monsoongrade/platform/objectstore.h>
#include <monsoongrade/requests/claim.h>
#include <monsoongrade/requests/claimepoch.h>
#include <monsoongrade/units/clock.h>

#include <atomic>
#include <functional>
#include <mutex>
#include <optional>

namespace monsoongrade::requests {

enum class ClaimState {
    // The claim is certainly this attempt's.
    Taken,
    HeldByOther,
    // Nobody can tell at present; this attempt must not run.
    StoreDown,
};

struct ClaimOutcome
{
    ClaimState state = ClaimState::StoreDown;
    // Where it is taken: its request must not be sent later than this; see ClaimStore::maySend.
    units::TimePoint sendBefore;
    // Where another holds it.
    Claim holder;
    platform::ObjectVersion version;
};

// Takes claims through the platform's object API. A lost reply is settled by reading the claim
// back: without that a router whose write took effect would be refused by its own claim, and one
// that believed an unread write could run beside the true holder. Calls block. Thread-safe.
class ClaimStore
{
public:
    // The clock must count the time that the host is suspended: see ClaimClock.
    ClaimStore(platform::ObjectStore &store, const units::Clock &clock,
               observability::Metrics &metrics, const ClaimTimes &times = {});

    // True for a short time after a call found the store down, so that an outage's requests are
    // refused at once instead of each waiting for the time limit.
    bool isDown() const;
    // Some claim is being taken; less urgent calls wait.
    bool isBusy() const { return underWay_ > 0; }

    // Whether a request whose claim gave this time may be sent now. A router that was paused after
    // it claimed would otherwise send a request whose claim has been removed since, and which
    // another router has run under a claim of its own.
    bool maySend(units::TimePoint sendBefore) const { return clock_.now() < sendBefore; }
    ClaimEpoch &epoch() { return epoch_; }

    // One write; two more calls where the key was claimed before or a reply was lost.
    ClaimOutcome claim(const std::string &name, const Claim &mine);
    // Takes over a claim that its holder has given up unused; fails where it has changed since.
    ClaimOutcome takeOver(const std::string &name, platform::ObjectVersion version,
                          const Claim &mine);

private:
    enum class WriteResult { Done, Refused, Lost };
    // Counts a claim as under way.
    class UnderWay
    {
    public:
        explicit UnderWay(std::atomic<int> &count)
            : count_(count)
        {
            ++count_;
        }
        ~UnderWay() { --count_; }
        UnderWay(const UnderWay &) = delete;
        UnderWay &operator=(const UnderWay &) = delete;

    private:
        std::atomic<int> &count_;
    };

    // As it is written: marked with the epoch.
    Claim marked(const Claim &mine) const;
    ClaimOutcome taken(units::TimePoint begun) const;

    WriteResult write(const std::function<units::Result<platform::ObjectVersion>()> &call);
    // Nothing where there is no claim.
    std::optional<ClaimOutcome> readBack(const std::string &name, const Claim &mine,
                                         units::TimePoint begun);
    ClaimOutcome down();

    platform::ObjectStore &store_;
    const units::Clock &clock_;
    observability::Metrics &metrics_;
    const ClaimTimes times_;
    ClaimEpoch epoch_;
    std::atomic<int> underWay_{0};
    mutable std::mutex mutex_;
    units::TimePoint downUntil_;
};

} // namespace monsoongrade::requests

#endif // MONSOONGRADE_REQUESTS_CLAIMSTORE_H
