#ifndef MONSOONGRADE_SCHEDULING_FIXEDSHAREPOLICY_H
#define MONSOONGRADE_SCHEDULING_FIXEDSHAREPOLICY_H

#include <monsoongrade/scheduling/cellscheduler.h>

namespace monsoongrade::scheduling {

// Each router alone, with its fixed share of every endpoint's slots: the slots divided by the
// live routers. Never exceeds an endpoint and needs no messages, but a slot that its router does
// not need stays idle while another router's callers wait. Also what a router can fall back to
// while it reaches no scheduler.
class FixedSharePolicy : public SlotPolicy
{
public:
    FixedSharePolicy(const units::Clock &clock, DecisionSink &sink);

    // This router's place among the live ones, counted from 0. Takes effect at configure().
    void setRouters(int index, int count);

    void configure(const CellPolicy &policy) override;
    void ask(const SlotAsk &ask) override { scheduler_.ask(ask); }
    bool cancel(const units::RequestId &request) override { return scheduler_.cancel(request); }
    void release(const SlotRelease &release) override { scheduler_.release(release); }
    void setLeaving(const units::EndpointId &endpoint, bool leaving) override;
    void setSuspected(const units::EndpointId &endpoint, bool suspected) override;
    void tick() override { scheduler_.tick(); }
    std::size_t waiting() const override { return scheduler_.waiting(); }
    std::size_t held() const override { return scheduler_.held(); }

private:
    CellScheduler scheduler_;
    int index_ = 0;
    int count_ = 1;
};

} // namespace monsoongrade::scheduling

#endif // MONSOONGRADE_SCHEDULING_FIXEDSHAREPOLICY_H
