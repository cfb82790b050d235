#include <monsoongrade/scheduling/waitingask.h>

#include <algorithm>

namespace monsoongrade::scheduling {

void WaitingAsk::applyPolicy(const CellPolicy &policy, units::Duration answerTime)
{
    ClassPolicy config;
    const auto found = policy.classes.find(ask.className);
    if (found != policy.classes.end())
        config = found->second;
    tier = policy.tierOf(ask.className);
    firstTokenDue = arrived + config.firstTokenTarget;
    late = config.late;
    if (passedOver)
        return;
    giveUpAt = arrived + config.maxWait;
    if (late == LatePolicy::Drop)
        giveUpAt = std::min(giveUpAt, firstTokenDue);
    if (!ask.patience)
        return;
    const units::TimePoint lastBegin = arrived + *ask.patience - answerTime;
    callerLeavesFirst = lastBegin < giveUpAt;
    giveUpAt = std::min(giveUpAt, lastBegin);
}

units::ResultCode WaitingAsk::givenUpCode() const
{
    return late == LatePolicy::Drop || callerLeavesFirst ? units::ResultCode::DeadlineHopeless
                                                         : units::ResultCode::WaitedTooLong;
}

} // namespace monsoongrade::scheduling
