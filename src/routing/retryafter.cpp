#include <monsoongrade/routing/retryafter.h>

#include <monsoongrade/units/jitter.h>

#include <algorithm>

namespace monsoongrade::routing {

namespace {

// An endpoint that was full has free slots after some request times (60 ms to 1 s).
constexpr auto WhenEndpointFull = std::chrono::milliseconds(250);
// A suspended or crashed endpoint comes back after 0.3 to 5 s.
constexpr auto WhenNoEndpoint = std::chrono::milliseconds(600);
// The store's news arrives again within a second of its return; another host may have it now.
constexpr auto WhenConfigurationMissing = std::chrono::milliseconds(300);
// Other hosts take requests now.
constexpr auto WhenStopping = std::chrono::milliseconds(50);
constexpr auto Min = std::chrono::milliseconds(50);

units::Duration shortest(units::ResultCode reason)
{
    switch (reason) {
    case units::ResultCode::EndpointRefused:
        return WhenEndpointFull;
    case units::ResultCode::NoConfiguration:
    case units::ResultCode::ConfigurationTooOld:
        return WhenConfigurationMissing;
    case units::ResultCode::RouterStopping:
        return WhenStopping;
    default:
        return WhenNoEndpoint;
    }
}

units::Duration spread(units::Duration from, const units::RequestId &request,
                       units::Duration timeLeft)
{
    const auto extra = std::chrono::duration_cast<units::Duration>(from * units::jitterOf(request));
    return std::clamp<units::Duration>(from + extra, Min,
                                       std::max<units::Duration>(Min, timeLeft / 3));
}

} // namespace

units::Duration retryAfter(units::ResultCode reason, const units::RequestId &request,
                           units::Duration timeLeft)
{
    return spread(shortest(reason), request, timeLeft);
}

units::Duration retryAfter(units::Duration queueDrainsIn, const units::RequestId &request,
                           units::Duration timeLeft)
{
    return spread(std::max<units::Duration>(queueDrainsIn, WhenEndpointFull), request, timeLeft);
}

} // namespace monsoongrade::routing
