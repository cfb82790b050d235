#ifndef MONSOONGRADE_GATEWAY_DUTYSERVICE_H
#define MONSOONGRADE_GATEWAY_DUTYSERVICE_H

#include <monsoongrade/duties/dutyrunner.h>
#include <monsoongrade/duties/usagereporter.h>
#include <monsoongrade/gateway/gateway.h>
#include <monsoongrade/scaling/poolautoscaler.h>
#include <monsoongrade/scaling/preemptiblespread.h>

namespace monsoongrade::gateway {

// Runs the fleet-wide duties, which one host at a time performs under a lease. Acquires and renews
// the lease where possible and performs the duties while this host holds it.
class DutyService : private scaling::ScaledPools
{
public:
    struct Stores
    {
        duties::LeaseStore &lease;
        duties::UsageReportStore &reports;
        scaling::BaselineStore &baselines;
    };

    // Requires gateway.state().usage to be set.
    DutyService(httpio::Timers &timers, Gateway &gateway, Stores stores,
                duties::DutyPlatform &platform, const units::Clock &clock);

    void start() { round(); }
    // Releases the lease so that another host can take it; for a planned stop.
    void stop();

private:
    std::vector<scaling::ScaledPool> pools() const override;
    bool isCurrent() const override;
    void round();

    httpio::Timers &timers_;
    Gateway &gateway_;
    duties::DutyRunner runner_;
    duties::UsageReporter usageReporter_;
    scaling::PreemptibleSpread preemptibleSpread_;
    scaling::PoolAutoscaler autoscaler_;
    bool isStopping_ = false;
};

} // namespace monsoongrade::gateway

#endif // MONSOONGRADE_GATEWAY_DUTYSERVICE_H
