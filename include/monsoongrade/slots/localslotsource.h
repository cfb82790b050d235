#ifndef MONSOONGRADE_SLOTS_LOCALSLOTSOURCE_H
#define MONSOONGRADE_SLOTS_LOCALSLOTSOURCE_H

#include <monsoongrade/configuration/configurationholder.h>
#include <monsoongrade/membership/fleetholder.h>
#include <monsoongrade/observability/metrics.h>
#include <monsoongrade/scheduling/slotsource.h>
#include <monsoongrade/units/clock.h>

#include <memory>

namespace monsoongrade::slots {

// Grants this router's own share of every endpoint's slots, decided in this process: the slots
// divided by the live entry hosts. Shares of all routers add up to the slots; a router whose
// share of a pool would be nothing gets one slot. The baseline "fixed share", and what is left
// when no scheduler can be reached.
class LocalSlotSource : public scheduling::SlotSource
{
public:
    LocalSlotSource(const units::Clock &clock, const units::HostName &self,
                    configuration::ConfigurationHolder &configuration,
                    membership::FleetHolder &fleet, observability::Metrics &metrics);
    ~LocalSlotSource() override;

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

#endif // MONSOONGRADE_SLOTS_LOCALSLOTSOURCE_H
