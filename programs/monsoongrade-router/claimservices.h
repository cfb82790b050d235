#ifndef MONSOONGRADE_PROGRAMS_CLAIMSERVICES_H
#define MONSOONGRADE_PROGRAMS_CLAIMSERVICES_H

#include <monsoongrade/configuration/daemonsettings.h>
#include <monsoongrade/membership/fleetholder.h>
#include <monsoongrade/membership/hostrank.h>
#include <monsoongrade/requests/claimclock.h>
#include <monsoongrade/requests/claimsweeping.h>

#include <functional>
#include <optional>

namespace monsoongrade {

// The claims of keys: taken for this router's requests, and removed after their time where this
// host is one of the sweepers.
class ClaimServices
{
public:
    ClaimServices(platform::ObjectStore &platform, observability::Metrics &metrics,
                  const configuration::DaemonSettings &settings, const units::DaemonId &self)
        : host_(settings.host)
        , times_{settings.keepClaims}
        , claims_(platform, clock_, metrics, times_)
        , sweeper_(platform, claims_, clock_, metrics, times_, {},
                   std::hash<units::DaemonId>()(self))
    {
    }

    requests::ClaimStore &claims() { return claims_; }

    // Call it once the fleet is being watched.
    void startSweeping(const membership::FleetHolder &fleet)
    {
        sweeping_.emplace(sweeper_, [this, &fleet] {
            const auto rank
                = membership::hostRank("claim-sweep", host_, *fleet.current(), MaxSweepers);
            return rank ? requests::SweepShare{rank->rank, rank->count} : requests::SweepShare{};
        });
    }

private:
    static constexpr std::size_t MaxSweepers = 8;

    const units::HostName host_;
    const requests::ClaimClock clock_;
    const requests::ClaimTimes times_;
    requests::ClaimStore claims_;
    requests::ClaimSweeper sweeper_;
    std::optional<requests::ClaimSweeping> sweeping_;
};

} // namespace monsoongrade

#endif // MONSOONGRADE_PROGRAMS_CLAIMSERVICES_H
