#include <monsoongrade/routing/queueing/retryafter.h>

#include <monsoongrade/units/jitter.h>

#include <algorithm>

namespace monsoongrade::routing::queueing {

namespace {

// A full endpoint has free slots after a few request durations (60 ms to 1 s).
constexpr auto EndpointFullDelay = std::chrono::milliseconds(250);
// A suspended or crashed endpoint is back after 0.3 to 5 s.
constexpr auto NoEndpointDelay = std::chrono::milliseconds(600);
// The configuration arrives within a second of the store's return; another host may have it now.
constexpr auto NoConfigurationDelay = std::chrono::milliseconds(300);
// Other hosts accept requests now.
constexpr auto HostStoppingDelay = std::chrono::milliseconds(50);
constexpr auto MinDelay = std::chrono::milliseconds(50);

units::Duration baseDelay(units::ResultCode reason)
{
    switch (reason) {
    case units::ResultCode::EndpointRefused:
        return EndpointFullDelay;
    case units::ResultCode::NoConfiguration:
    case units::ResultCode::ConfigurationTooOld:
        return NoConfigurationDelay;
    case units::ResultCode::RouterStopping:
        return HostStoppingDelay;
    default:
        return NoEndpointDelay;
    }
}

units::Duration withJitter(units::Duration delay, const units::RequestId &request,
                           units::Duration timeLeft)
{
    const auto jitter
        = std::chrono::duration_cast<units::Duration>(delay * units::jitterOf(request));
    return std::clamp<units::Duration>(delay + jitter, MinDelay,
                                       std::max<units::Duration>(MinDelay, timeLeft / 3));
}

} // namespace

units::Duration retryAfter(units::ResultCode reason, const units::RequestId &request,
                           units::Duration timeLeft)
{
    return withJitter(baseDelay(reason), request, timeLeft);
}

units::Duration retryAfter(units::Duration queueDrainsIn, const units::RequestId &request,
                           units::Duration timeLeft)
{
    return withJitter(std::max<units::Duration>(queueDrainsIn, EndpointFullDelay), request,
                      timeLeft);
}

} // namespace monsoongrade::routing::queueing
