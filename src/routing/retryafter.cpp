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
constexpr auto Min = std::chrono::milliseconds(50);

units::Duration shortest(units::ResultCode reason)
{
    switch (reason) {
    case units::ResultCode::EndpointRefused:
        return WhenEndpointFull;
    case units::ResultCode::NoConfiguration:
    case units::ResultCode::ConfigurationTooOld:
        return WhenConfigurationMissing;
    default:
        return WhenNoEndpoint;
    }
}

} // namespace

units::Duration retryAfter(units::ResultCode reason, const units::RequestId &request,
                           units::Duration timeLeft)
{
    const units::Duration from = shortest(reason);
    const auto spread
        = std::chrono::duration_cast<units::Duration>(from * units::jitterOf(request));
    return std::clamp<units::Duration>(from + spread, Min,
                                       std::max<units::Duration>(Min, timeLeft / 3));
}

} // namespace monsoongrade::routing
