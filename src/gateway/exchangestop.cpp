#include <monsoongrade/gateway/exchange.h>

namespace monsoongrade::gateway {

// A request that has waited until now would begin late and be cut off with the host.
void Exchange::onHostClosing()
{
    const bool waitsForEndpoint = isPlacing_ && !mayHaveRun_ && !responseBegun_;
    if (waitsForEndpoint && state_.plannedStop->shouldRefuse(deadline_, state_.timers.now()))
        giveUp(routing::NextStep::RefuseNotRun, units::ResultCode::RouterStopping);
}

void Exchange::onHostEnding()
{
    logCutOff();
    mayHaveRun_
        = mayHaveRun_ || channel_ != nullptr || (forwarded_ != nullptr && forwarded_->wasSent());
    if (channel_ != nullptr)
        dropChannel();
    if (clientDisconnected_)
        finish("client-left", 0, units::ResultCode::CallerLeft);
    else
        giveUp(mayHaveRun_ ? routing::NextStep::RespondOutcomeUnknown
                           : routing::NextStep::RefuseNotRun,
               units::ResultCode::RouterStopping);
}

} // namespace monsoongrade::gateway
