#include <monsoongrade/scheduling/waitingask.h>

#include <algorithm>

namespace monsoongrade::scheduling {

void WaitingAsk::applyPolicy(const CellPolicy &policy)
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
}

units::ResultCode WaitingAsk::givenUpCode() const
{
    return late == LatePolicy::Drop ? units::ResultCode::DeadlineHopeless
                                    : units::ResultCode::WaitedTooLong;
}

} // namespace monsoongrade::scheduling
