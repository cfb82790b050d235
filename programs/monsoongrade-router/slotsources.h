#ifndef MONSOONGRADE_PROGRAMS_ROUTER_SLOTSOURCES_H
#define MONSOONGRADE_PROGRAMS_ROUTER_SLOTSOURCES_H

#include <monsoongrade/configuration/configurationholder.h>
#include <monsoongrade/configuration/daemonsettings.h>
#include <monsoongrade/endpoints/endpointclient.h>
#include <monsoongrade/membership/fleetholder.h>
#include <monsoongrade/observability/metrics.h>
#include <monsoongrade/rpc/rpcslotsource.h>
#include <monsoongrade/slots/fallbackslotsource.h>
#include <monsoongrade/slots/localslotsource.h>
#include <monsoongrade/slots/twochoicesslotsource.h>

// The router's way to slots as its settings name it: the fleet's schedulers with the own share
// behind them, the own share alone, or two choices by reported load.
class SlotSources
{
public:
    SlotSources(const monsoongrade::configuration::DaemonSettings &settings,
                const monsoongrade::units::DaemonId &self, const monsoongrade::units::Clock &clock,
                monsoongrade::rpc::RpcLoop &loop, monsoongrade::endpoints::EndpointClient &client,
                monsoongrade::configuration::ConfigurationHolder &configuration,
                monsoongrade::membership::FleetHolder &fleet,
                monsoongrade::observability::Metrics &metrics);

    monsoongrade::scheduling::SlotSource &chosen() { return *chosen_; }

private:
    std::unique_ptr<monsoongrade::slots::TwoChoicesSlotSource> twoChoices_;
    std::unique_ptr<monsoongrade::slots::LocalSlotSource> local_;
    std::unique_ptr<monsoongrade::rpc::RpcSlotSource> scheduler_;
    std::unique_ptr<monsoongrade::slots::FallbackSlotSource> fallback_;
    monsoongrade::scheduling::SlotSource *chosen_ = nullptr;
};

#endif // MONSOONGRADE_PROGRAMS_ROUTER_SLOTSOURCES_H
