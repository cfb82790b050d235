#ifndef MONSOONGRADE_SRC_RPC_INTERNAL_SCHEDULERLINK_H
#define MONSOONGRADE_SRC_RPC_INTERNAL_SCHEDULERLINK_H

#include <rpc/internal/schedulerconnection.h>

#include <monsoongrade/membership/member.h>
#include <monsoongrade/units/clock.h>

#include <memory>
#include <optional>

namespace monsoongrade::rpc::internal {

// What a router knows of one connection to one scheduler.
struct SchedulerLink
{
    membership::Member scheduler;
    // Null once given up.
    std::unique_ptr<SchedulerConnection> connection;
    units::TimePoint lastHeard;
    // Calls under way whose answer shows that it lives; there are none while slots are only held.
    int awaited = 0;
    units::TimePoint awaitedSince;
    // Since when a sign of life is asked for.
    std::optional<units::TimePoint> signAskedAt;
    // Calls of ping under way; the scheduler keeps the last one open.
    int pingsOpen = 0;
    // It answered at least once.
    bool heard = false;
    bool leaving = false;
    // Pools that moved away from here and whose grants the next scheduler has yet to count.
    int movesPending = 0;
    // Grants held there.
    int held = 0;

    bool isOpen() const { return connection != nullptr; }
    void hear(units::TimePoint now)
    {
        lastHeard = now;
        signAskedAt.reset();
    }
};

using LinkPointer = std::shared_ptr<SchedulerLink>;

// Counts a call as awaited for as long as it lives; attach it to the call's promise.
class AwaitedCall
{
public:
    explicit AwaitedCall(LinkPointer link)
        : link_(std::move(link))
    {
        if (link_->awaited++ == 0)
            link_->awaitedSince = std::chrono::steady_clock::now();
    }
    AwaitedCall(const AwaitedCall &) = delete;
    AwaitedCall &operator=(const AwaitedCall &) = delete;
    ~AwaitedCall() { --link_->awaited; }

private:
    LinkPointer link_;
};

// The call's end; its answer shows that the scheduler lives, and says nothing else.
template <typename Answer>
kj::Promise<void> awaited(const LinkPointer &link, kj::Promise<Answer> &&answer)
{
    return answer.then([link](auto &&) { link->hear(std::chrono::steady_clock::now()); })
        .attach(kj::heap<AwaitedCall>(link));
}

} // namespace monsoongrade::rpc::internal

#endif // MONSOONGRADE_SRC_RPC_INTERNAL_SCHEDULERLINK_H
