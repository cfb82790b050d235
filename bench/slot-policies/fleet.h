#ifndef MONSOONGRADE_BENCH_FLEET_H
#define MONSOONGRADE_BENCH_FLEET_H

#include "timeline.h"

#include <monsoongrade/scheduling/slotask.h>
#include <monsoongrade/scheduling/slotgrant.h>
#include <monsoongrade/scheduling/slotpolicy.h>
#include <monsoongrade/scheduling/slotrefusal.h>
#include <monsoongrade/scheduling/slotrelease.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace monsoongrade::bench {

enum class PolicyKind { FleetWide, FixedShare, TwoChoices };

// All routers of a site with one policy for slots, and the messages between them. A message
// takes one step of the simulation. Requests are named by their id alone; which grant they
// hold, and of which scheduler, is the fleet's matter.
class Fleet
{
public:
    // Receives decisions as they arrive at the router.
    struct Listener
    {
        std::function<void(const scheduling::SlotGrant &)> granted;
        std::function<void(const scheduling::SlotRefusal &)> refused;
    };
    struct Options
    {
        int routers = 6;
        std::uint64_t seed = 1;
        // Factor by which lengths are guessed wrong, up or down by class; 1 learns them.
        double wrongLengths = 1;
        // Whether callers say with each attempt how long they still stay.
        bool patienceTold = true;
    };

    virtual ~Fleet() = default;
    virtual void ask(const scheduling::SlotAsk &ask, int router) = 0;
    // The caller left. A grant that is on its way is given back.
    virtual void cancel(const units::RequestId &request, int router) = 0;
    virtual void release(const units::RequestId &request, int router,
                         scheduling::SlotRelease release)
        = 0;
    virtual void reportLoad(const units::EndpointId &endpoint, int load) = 0;
    virtual void routerDied(int router) = 0;
    virtual void schedulerDied() = 0;
    virtual void tick() = 0;
    virtual std::size_t waiting() const = 0;

    std::uint64_t messages() const { return messages_; }
    std::uint64_t bytes() const { return bytes_; }

    static std::unique_ptr<Fleet> make(PolicyKind kind, Timeline &timeline,
                                       const scheduling::CellPolicy &policy, Options options,
                                       Listener listener);

protected:
    void countMessage(std::uint64_t bytes)
    {
        ++messages_;
        bytes_ += bytes;
    }

private:
    std::uint64_t messages_ = 0;
    std::uint64_t bytes_ = 0;
};

} // namespace monsoongrade::bench

#endif // MONSOONGRADE_BENCH_FLEET_H
