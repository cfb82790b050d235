#ifndef MONSOONGRADE_SRC_RPC_INTERNAL_HELDSLOTS_H
#define MONSOONGRADE_SRC_RPC_INTERNAL_HELDSLOTS_H

#include <rpc/internal/schedulerlink.h>

#include <monsoongrade/scheduling/slotask.h>
#include <monsoongrade/scheduling/slotrelease.h>

#include <kj/async.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace monsoongrade::rpc::internal {

// The grants that a router holds, and at which schedulers each is counted: at the one that gave
// it and at every one that took over since. A release goes to all of them; one that overtakes
// the answer to a report follows as soon as that answer gives the grant's number.
class HeldSlots
{
public:
    explicit HeldSlots(kj::TaskSet &tasks);

    void add(const scheduling::SlotAsk &ask, const units::EndpointId &endpoint,
             const LinkPointer &link, units::GrantId grant);
    void release(const units::RequestId &request, scheduling::SlotRelease release);
    // Gives back a grant that nobody holds.
    void releaseUnheld(const units::PoolName &pool, const LinkPointer &link, units::GrantId grant);

    // Reports all held of the pool to the link's scheduler. Done or failed is called once.
    void report(const units::PoolName &pool, const LinkPointer &link, std::function<void()> done,
                std::function<void()> failed);
    std::size_t size() const { return held_.size(); }

private:
    struct Place
    {
        std::weak_ptr<SchedulerLink> link;
        std::optional<units::GrantId> grant;
    };
    struct Held
    {
        scheduling::SlotAsk ask;
        units::EndpointId endpoint;
        std::vector<Place> places;
        std::optional<scheduling::SlotRelease> released;
    };
    using HeldPointer = std::shared_ptr<Held>;

    void numbered(const HeldPointer &held, const LinkPointer &link, units::GrantId grant);
    void sendRelease(const units::PoolName &pool, const LinkPointer &link, units::GrantId grant,
                     scheduling::SlotRelease release);

    std::map<units::RequestId, HeldPointer> held_;
    kj::TaskSet &tasks_;
};

} // namespace monsoongrade::rpc::internal

#endif // MONSOONGRADE_SRC_RPC_INTERNAL_HELDSLOTS_H
