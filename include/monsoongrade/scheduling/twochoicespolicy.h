#ifndef MONSOONGRADE_SCHEDULING_TWOCHOICESPOLICY_H
#define MONSOONGRADE_SCHEDULING_TWOCHOICESPOLICY_H

#include <monsoongrade/scheduling/decisionsink.h>
#include <monsoongrade/scheduling/drainrate.h>
#include <monsoongrade/scheduling/retryplanner.h>
#include <monsoongrade/scheduling/slotpolicy.h>
#include <monsoongrade/scheduling/waitingqueue.h>

#include <map>
#include <optional>
#include <random>
#include <vector>

namespace monsoongrade::scheduling {

// Each router alone: of two random endpoints the one with the lower reported load, if that load
// is below its slots, else the ask waits here. The reports lag and don't show what the other
// routers send in between, so a burst over-commits endpoints. Within the router the order is
// that of WaitingQueue.
class TwoChoicesPolicy : public SlotPolicy
{
public:
    TwoChoicesPolicy(const units::Clock &clock, DecisionSink &sink, std::uint64_t seed);

    void configure(const CellPolicy &policy) override;
    void ask(const SlotAsk &ask) override;
    bool cancel(const units::RequestId &request) override;
    void release(const SlotRelease &release) override;
    void setLeaving(const units::EndpointId &endpoint, bool leaving) override;
    void setSuspected(const units::EndpointId &endpoint, bool suspected) override;
    void reportLoad(const units::EndpointId &endpoint, int inFlight) override;
    void tick() override;
    std::size_t waiting() const override { return queue_.size(); }
    std::size_t held() const override { return grants_.size(); }

private:
    struct Load
    {
        int slots = 0;
        int reported = 0;
        int own = 0;
        bool leaving = false;
        bool suspected = false;

        // A router knows at least its own part, however old the report is.
        int seen() const { return reported > own ? reported : own; }
    };
    struct HeldGrant
    {
        SlotAsk ask;
        units::EndpointId endpoint;
    };

    std::optional<units::EndpointId> choose();
    void grantWhilePossible();
    void refuse(const WaitingAsk &ask, units::ResultCode code);

    const units::Clock &clock_;
    DecisionSink &sink_;
    std::mt19937_64 random_;
    CellPolicy policy_;
    WaitingQueue queue_;
    DrainRate drain_;
    RetryPlanner retries_;
    std::map<units::EndpointId, Load> loads_;
    std::map<units::GrantId, HeldGrant> grants_;
    std::uint64_t nextGrant_ = 1;
};

} // namespace monsoongrade::scheduling

#endif // MONSOONGRADE_SCHEDULING_TWOCHOICESPOLICY_H
