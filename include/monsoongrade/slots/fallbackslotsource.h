#ifndef MONSOONGRADE_SLOTS_FALLBACKSLOTSOURCE_H
#define MONSOONGRADE_SLOTS_FALLBACKSLOTSOURCE_H

#include <monsoongrade/observability/metrics.h>
#include <monsoongrade/scheduling/slotsource.h>
#include <monsoongrade/units/clock.h>

#include <memory>

namespace monsoongrade::slots {

// Asks the first source, and the second where the first refuses as SchedulerUnreachable. Counts
// the asks that took the second way.
class FallbackSlotSource : public scheduling::SlotSource
{
public:
    // Both sources outlive this one and every listener that was given to it.
    FallbackSlotSource(const units::Clock &clock, scheduling::SlotSource &first,
                       scheduling::SlotSource &second, observability::Metrics &metrics);
    ~FallbackSlotSource() override;

    void ask(const scheduling::SlotAsk &ask,
             std::shared_ptr<scheduling::SlotListener> listener) override;
    void cancel(const scheduling::SlotAsk &ask) override;
    void release(const scheduling::SlotGrant &grant,
                 const scheduling::SlotRelease &release) override;

private:
    class Impl;
    class Listener;
    std::shared_ptr<Impl> impl_;
};

} // namespace monsoongrade::slots

#endif // MONSOONGRADE_SLOTS_FALLBACKSLOTSOURCE_H
