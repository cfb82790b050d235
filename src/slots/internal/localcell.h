#ifndef MONSOONGRADE_SRC_SLOTS_INTERNAL_LOCALCELL_H
#define MONSOONGRADE_SRC_SLOTS_INTERNAL_LOCALCELL_H

#include <monsoongrade/scheduling/cellscheduler.h>
#include <monsoongrade/scheduling/slotsource.h>

#include <map>
#include <memory>

namespace monsoongrade::slots::internal {

// One CellScheduler together with the listeners of its own router. On one thread only.
class LocalCell : private scheduling::DecisionSink
{
public:
    explicit LocalCell(const units::Clock &clock)
        : scheduler_(clock, *this)
    {
    }

    scheduling::CellScheduler &scheduler() { return scheduler_; }
    void ask(const scheduling::SlotAsk &ask, std::shared_ptr<scheduling::SlotListener> listener)
    {
        listeners_[ask.request] = std::move(listener);
        scheduler_.ask(ask);
    }
    void cancel(const units::RequestId &request)
    {
        if (scheduler_.cancel(request))
            listeners_.erase(request);
    }

private:
    void granted(const scheduling::SlotGrant &grant) override
    {
        if (const auto listener = take(grant.request))
            listener->slotGranted(grant);
    }
    void refused(const scheduling::SlotRefusal &refusal) override
    {
        if (const auto listener = take(refusal.request))
            listener->slotRefused(refusal);
    }
    std::shared_ptr<scheduling::SlotListener> take(const units::RequestId &request)
    {
        const auto found = listeners_.find(request);
        if (found == listeners_.end())
            return nullptr;
        auto listener = std::move(found->second);
        listeners_.erase(found);
        return listener;
    }

    scheduling::CellScheduler scheduler_;
    std::map<units::RequestId, std::shared_ptr<scheduling::SlotListener>> listeners_;
};

} // namespace monsoongrade::slots::internal

#endif // MONSOONGRADE_SRC_SLOTS_INTERNAL_LOCALCELL_H
