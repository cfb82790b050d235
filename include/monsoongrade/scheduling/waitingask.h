#ifndef MONSOONGRADE_SCHEDULING_WAITINGASK_H
#define MONSOONGRADE_SCHEDULING_WAITINGASK_H

#include <monsoongrade/scheduling/cellpolicy.h>
#include <monsoongrade/scheduling/slotask.h>
#include <monsoongrade/units/resultcode.h>

#include <cstdint>

namespace monsoongrade::scheduling {

// One ask in the queue, with the times that its class's policy gave it.
struct WaitingAsk
{
    SlotAsk ask;
    units::Tier tier;
    units::TimePoint arrived;
    units::TimePoint firstTokenDue;
    units::TimePoint giveUpAt;
    LatePolicy late = LatePolicy::Serve;
    // Set if it must be given up before its class says so, since its caller leaves.
    bool callerLeavesFirst = false;
    // Set when a guaranteed grant of a lower tier took the slot that was this ask's by order:
    // it gets the tier's next one.
    bool passedOver = false;
    // Order of arrival; given by the queue.
    std::uint64_t sequence = 0;

    // Takes tier and times from the class's policy; expects "ask" and "arrived". An answer takes
    // about the given time, so it must begin that long before its caller leaves. Without that, a
    // caller who has come back several times is granted a slot in its last seconds and leaves in
    // the middle: the tokens are wasted, and others who still had time got none.
    void applyPolicy(const CellPolicy &policy, units::Duration answerTime = {});
    // Why it is refused when its time to be given up has come.
    units::ResultCode givenUpCode() const;
};

} // namespace monsoongrade::scheduling

#endif // MONSOONGRADE_SCHEDULING_WAITINGASK_H
