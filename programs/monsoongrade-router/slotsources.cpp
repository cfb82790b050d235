#include "slotsources.h"

using namespace monsoongrade;

SlotSources::SlotSources(const configuration::DaemonSettings &settings, const units::DaemonId &self,
                         const units::Clock &clock, rpc::RpcLoop &loop,
                         endpoints::EndpointClient &client,
                         configuration::ConfigurationHolder &configuration,
                         membership::FleetHolder &fleet, observability::Metrics &metrics)
{
    if (settings.slots == configuration::SlotPolicy::TwoChoices) {
        twoChoices_ = std::make_unique<slots::TwoChoicesSlotSource>(clock, client, configuration,
                                                                    fleet, metrics);
        chosen_ = twoChoices_.get();
        return;
    }
    local_ = std::make_unique<slots::LocalSlotSource>(clock, settings.host, configuration, fleet,
                                                      metrics);
    chosen_ = local_.get();
    if (settings.slots == configuration::SlotPolicy::FixedShare)
        return;
    rpc::RpcSlotSourceSettings rpcSettings;
    rpcSettings.cluster = settings.cluster;
    rpcSettings.self = self;
    rpcSettings.schedulerPort = settings.schedulerRpcPort;
    scheduler_ = std::make_unique<rpc::RpcSlotSource>(loop, rpcSettings, fleet, metrics);
    fallback_ = std::make_unique<slots::FallbackSlotSource>(clock, *scheduler_, *local_, metrics);
    chosen_ = fallback_.get();
}
