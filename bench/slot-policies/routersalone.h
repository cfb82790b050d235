#ifndef MONSOONGRADE_BENCH_ROUTERSALONE_H
#define MONSOONGRADE_BENCH_ROUTERSALONE_H

#include "fleet.h"

#include <monsoongrade/scheduling/decisionsink.h>

#include <map>
#include <vector>

namespace monsoongrade::bench {

// A policy in each router, which knows nothing of the others' asks. Decisions cost no message.
class RoutersAlone : public Fleet
{
public:
    RoutersAlone(PolicyKind kind, Timeline &timeline, scheduling::CellPolicy policy,
                 const Options &options, Listener listener);

    void ask(const scheduling::SlotAsk &ask, int router) override;
    void cancel(const units::RequestId &request, int router) override;
    void release(const units::RequestId &request, int router,
                 scheduling::SlotRelease release) override;
    void reportLoad(const units::EndpointId &endpoint, int load) override;
    void routerDied(int router) override;
    void schedulerDied() override { }
    void tick() override;
    std::size_t waiting() const override;

private:
    // The decisions of one router.
    class Router : public scheduling::DecisionSink
    {
    public:
        Router(RoutersAlone &fleet, int index);
        void granted(const scheduling::SlotGrant &grant) override;
        void refused(const scheduling::SlotRefusal &refusal) override;

        std::unique_ptr<scheduling::SlotPolicy> policy;
        std::map<units::RequestId, units::GrantId> held;

    private:
        RoutersAlone &fleet_;
    };

    void divide();

    PolicyKind kind_;
    Timeline &timeline_;
    scheduling::CellPolicy policy_;
    Options options_;
    Listener listener_;
    std::vector<std::unique_ptr<Router>> routers_;
};

} // namespace monsoongrade::bench

#endif // MONSOONGRADE_BENCH_ROUTERSALONE_H
