#ifndef MONSOONGRADE_REQUESTS_CLAIMSTORE_H
#define MONSOONGRADE_REQUESTS_CLAIMSTORE_H

#include <monsoongrade/observability/metrics.h>
#include <monsoongrade/platform/objectstore.h>
#include <monsoongrade/requests/claim.h>
#include <monsoongrade/units/clock.h>

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
    ClaimStore(platform::ObjectStore &store, const units::Clock &clock,
               observability::Metrics &metrics);

    // True for a short time after a call found the store down, so that an outage's requests are
    // refused at once instead of each waiting for the time limit.
    bool isDown() const;

    // One write; two more calls where the key was claimed before or a reply was lost.
    ClaimOutcome claim(const std::string &name, const Claim &mine);
    // Takes over a claim that its holder has given up unused; fails where it has changed since.
    ClaimOutcome takeOver(const std::string &name, platform::ObjectVersion version,
                          const Claim &mine);

private:
    enum class WriteResult { Done, Refused, Lost };

    WriteResult write(const std::function<units::Result<platform::ObjectVersion>()> &call);
    // Nothing where there is no claim.
    std::optional<ClaimOutcome> readBack(const std::string &name, const Claim &mine);
    ClaimOutcome down();

    platform::ObjectStore &store_;
    const units::Clock &clock_;
    observability::Metrics &metrics_;
    mutable std::mutex mutex_;
    units::TimePoint downUntil_;
};

} // namespace monsoongrade::requests

#endif // MONSOONGRADE_REQUESTS_CLAIMSTORE_H
