#ifndef MONSOONGRADE_BENCH_FLEETWIDE_H
#define MONSOONGRADE_BENCH_FLEETWIDE_H

#include "fleet.h"

#include <monsoongrade/scheduling/cellscheduler.h>

#include <map>
#include <set>

namespace monsoongrade::bench {

// One scheduler for all routers. When it dies, a second later the next one has been told the
// grants and the asks that the routers hold.
class FleetWide : public Fleet, private scheduling::DecisionSink
{
public:
    FleetWide(Timeline &timeline, scheduling::CellPolicy policy, const Options &options,
              Listener listener);

    void ask(const scheduling::SlotAsk &ask, int router) override;
    void cancel(const units::RequestId &request, int router) override;
    void release(const units::RequestId &request, int router,
                 scheduling::SlotRelease release) override;
    void reportLoad(const units::EndpointId & /*endpoint*/, int /*load*/) override { }
    void routerDied(int router) override;
    void schedulerDied() override;
    void tick() override;
    std::size_t waiting() const override { return waiting_.size(); }

private:
    struct Waiting
    {
        scheduling::SlotAsk ask;
        units::TimePoint askedAt;
    };
    struct Held
    {
        scheduling::SlotAsk ask;
        scheduling::SlotGrant grant;
    };

    void granted(const scheduling::SlotGrant &grant) override;
    void refused(const scheduling::SlotRefusal &refusal) override;
    void startScheduler();
    void takeOver();
    // Runs after a step if the scheduler that it was meant for still lives.
    void send(std::uint64_t bytes, std::function<void(scheduling::CellScheduler &)> what);

    Timeline &timeline_;
    scheduling::CellPolicy policy_;
    Options options_;
    Listener listener_;
    std::unique_ptr<scheduling::CellScheduler> scheduler_;
    std::uint64_t life_ = 0;
    std::map<units::RequestId, Waiting> waiting_;
    std::map<units::RequestId, Held> held_;
};

} // namespace monsoongrade::bench

#endif // MONSOONGRADE_BENCH_FLEETWIDE_H
