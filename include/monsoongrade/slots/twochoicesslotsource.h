#ifndef MONSOONGRADE_SLOTS_TWOCHOICESSLOTSOURCE_H
#define MONSOONGRADE_SLOTS_TWOCHOICESSLOTSOURCE_H

#include <monsoongrade/configuration/configurationholder.h>
#include <monsoongrade/endpoints/endpointclient.h>
#include <monsoongrade/membership/fleetholder.h>
#include <monsoongrade/observability/metrics.h>
#include <monsoongrade/scheduling/slotsource.h>
#include <monsoongrade/units/clock.h>

#include <cstdint>
#include <memory>

namespace monsoongrade::slots {

struct TwoChoicesSettings
{
    std::uint32_t seed = 1;
    units::Duration pollPeriod = std::chrono::milliseconds(250);
    // An ask that meets two full endpoints tries again until it has waited for this long.
    units::Duration longestWait = std::chrono::seconds(5);
};

// Sends each request to the less loaded of two endpoints picked at random, by the load that they
// reported last. Knows nothing of other routers, orders nobody before another, and has no queue
// but a bounded wait: a baseline to measure the scheduler against.
class TwoChoicesSlotSource : public scheduling::SlotSource
{
public:
    TwoChoicesSlotSource(const units::Clock &clock, endpoints::EndpointClient &client,
                         configuration::ConfigurationHolder &configuration,
                         membership::FleetHolder &fleet, observability::Metrics &metrics,
                         const TwoChoicesSettings &settings = {});
    ~TwoChoicesSlotSource() override;

    void ask(const scheduling::SlotAsk &ask,
             std::shared_ptr<scheduling::SlotListener> listener) override;
    void cancel(const scheduling::SlotAsk &ask) override;
    void release(const scheduling::SlotGrant &grant,
                 const scheduling::SlotRelease &release) override;

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace monsoongrade::slots

#endif // MONSOONGRADE_SLOTS_TWOCHOICESSLOTSOURCE_H
