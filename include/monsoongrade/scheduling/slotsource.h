#ifndef MONSOONGRADE_SCHEDULING_SLOTSOURCE_H
#define MONSOONGRADE_SCHEDULING_SLOTSOURCE_H

#include <monsoongrade/scheduling/slotask.h>
#include <monsoongrade/scheduling/slotgrant.h>
#include <monsoongrade/scheduling/slotrefusal.h>
#include <monsoongrade/scheduling/slotrelease.h>

#include <memory>

namespace monsoongrade::scheduling {

// Receives the one decision about an ask.
class SlotListener
{
public:
    virtual ~SlotListener() = default;
    virtual void slotGranted(const SlotGrant &grant) = 0;
    virtual void slotRefused(const SlotRefusal &refusal) = 0;
};

// Where a router gets its slots from: the fleet-wide scheduler or one of the baselines.
// Thread-safe. The listener is never called from within ask(), cancel() or release().
class SlotSource
{
public:
    virtual ~SlotSource() = default;
    virtual void ask(const SlotAsk &ask, std::shared_ptr<SlotListener> listener) = 0;
    // Withdraws an ask; a grant already on its way is given back by the source itself.
    virtual void cancel(const SlotAsk &ask) = 0;
    virtual void release(const SlotGrant &grant, const SlotRelease &release) = 0;
};

} // namespace monsoongrade::scheduling

#endif // MONSOONGRADE_SCHEDULING_SLOTSOURCE_H
