#ifndef MONSOONGRADE_SCHEDULING_SLOTPOLICY_H
#define MONSOONGRADE_SCHEDULING_SLOTPOLICY_H

#include <monsoongrade/scheduling/cellpolicy.h>
#include <monsoongrade/scheduling/slotask.h>
#include <monsoongrade/scheduling/slotrelease.h>

#include <cstddef>

namespace monsoongrade::scheduling {

// A way to decide which ask gets which slot. The fleet-wide one sees the asks of all routers;
// the others sit in each router and see its own alone. Decisions leave through the DecisionSink
// that the policy was made with. Not thread-safe.
class SlotPolicy
{
public:
    virtual ~SlotPolicy() = default;

    virtual void configure(const CellPolicy &policy) = 0;
    virtual void ask(const SlotAsk &ask) = 0;
    // Withdraws an ask that still waits, without a decision. Returns false if it does not wait.
    virtual bool cancel(const units::RequestId &request) = 0;
    virtual void release(const SlotRelease &release) = 0;

    virtual void setLeaving(const units::EndpointId &endpoint, bool leaving) = 0;
    virtual void setSuspected(const units::EndpointId &endpoint, bool suspected) = 0;
    // An endpoint's own report of its load, which lags.
    virtual void reportLoad(const units::EndpointId & /*endpoint*/, int /*inFlight*/) { }
    virtual void tick() = 0;

    virtual std::size_t waiting() const = 0;
    virtual std::size_t held() const = 0;
};

} // namespace monsoongrade::scheduling

#endif // MONSOONGRADE_SCHEDULING_SLOTPOLICY_H
