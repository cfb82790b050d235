#include <monsoongrade/routing/silencedecision.h>

#include <algorithm>

namespace monsoongrade::routing {

namespace {

// An endpoint rejects a request within a few milliseconds. Two engines must not work on one for
// 400 ms.
constexpr auto RejectionTime = std::chrono::milliseconds(200);

} // namespace

units::Duration silenceLimit(const Route &route, bool hasEvent)
{
    if (route.kind == RouteKind::Idempotent)
        return std::max<units::Duration>(std::chrono::milliseconds(300), 2 * route.targetLatency);
    if (!hasEvent)
        return std::max<units::Duration>(std::chrono::seconds(1), route.targetLatency * 5 / 2);
    return std::max<units::Duration>(std::chrono::milliseconds(700), route.maxEventGap * 5 / 2);
}

units::Duration replacementSilenceLimit(const Route &route, bool runsModel)
{
    if (runsModel && route.kind == RouteKind::Idempotent)
        return RejectionTime;
    return silenceLimit(route, false);
}

SilenceStep decideOnSilence(const SilentRequest &request)
{
    if (request.hasReplacement && request.runsUnseen)
        return SilenceStep::TakeReplacement;
    if (!request.mayBeSentAgain)
        return SilenceStep::KeepWaiting;
    return request.hasReplacement ? SilenceStep::ChangeReplacement : SilenceStep::SeekReplacement;
}

ReplacementVerdict judgeReplacement(const ReplacementResponse &response)
{
    if (!response.hasRequestId)
        return ReplacementVerdict::Unusable;
    if (!response.isToRequest)
        return ReplacementVerdict::OfOtherRequest;
    if (response.provenNotRun || response.isOfOtherEndpoint || response.isServerError)
        return ReplacementVerdict::Rejected;
    if (response.isSuccess)
        return response.isSigned ? ReplacementVerdict::TakesOver : ReplacementVerdict::Unusable;
    return response.mustBeStream ? ReplacementVerdict::Rejected : ReplacementVerdict::TakesOver;
}

} // namespace monsoongrade::routing
