#ifndef MONSOONGRADE_GATEWAY_DUTYSERVICE_H
#define MONSOONGRADE_GATEWAY_DUTYSERVICE_H

#include <monsoongrade/duties/dutyrunner.h>
#include <monsoongrade/duties/usagereporter.h>
#include <monsoongrade/gateway/gateway.h>
#include <monsoongrade/scaling/poolautoscaler.h>
#include <monsoongrade/scaling/preemptiblespread.h>

namespace monsoongrade::gateway {

// This host's part in the duties that one host at a time has for all: keeps the lease if it can,
// and does what is due while it holds it.
class DutyService : private scaling::ScaledPools
{
public:
    struct Stores
    {
        duties::LeaseStore &lease;
        duties::UsageReportStore &reports;
        scaling::BaselineStore &baselines;
    };

    // The gateway counts usage.
    DutyService(httpio::Timers &timers, Gateway &gateway, Stores stores,
                duties::DutyPlatform &platform, const units::Clock &clock);

    void start() { round(); }
    // Gives the lease to another host, at a planned stop.
    void stop();

private:
    std::vector<scaling::ScaledPool> pools() const override;
    bool isCurrent() const override;
    void round();

    httpio::Timers &timers_;
    Gateway &gateway_;
    duties::DutyRunner holder_;
    duties::UsageReporter usage_;
    scaling::PreemptibleSpread sizing_;
    scaling::PoolAutoscaler workers_;
    bool isStopping_ = false;
};

} // namespace monsoongrade::gateway

#endif // MONSOONGRADE_GATEWAY_DUTYSERVICE_H
