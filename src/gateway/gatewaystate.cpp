#include <monsoongrade/gateway/gatewaystate.h>

#include <gateway/internal/milliseconds.h>

namespace monsoongrade::gateway {

bool GatewayState::setLeaving(const routing::EndpointInstance &endpoint, units::TimePoint at)
{
    if (!announcements.setLeaving(endpoint, at))
        return false;
    registry.onLeavingAnnounced(endpoint.id);
    return true;
}

bool GatewayState::hasAnnouncedLeaving(const routing::EndpointInstance &listed)
{
    const units::TimePoint now = timers.now();
    if (const auto start = announcements.onListed(listed, now)) {
        log.write(observability::LogLevel::Info, "endpoint-start-after-leaving",
                  {{"endpoint", listed.id.value()},
                   {"announced-for", start->announcedFor.value()},
                   {"incarnation", listed.incarnation.value()},
                   {"announced-ago-ms", internal::inMilliseconds(start->age)},
                   {"used", start->isLater ? "yes" : "no"}});
    }
    return announcements.isLeaving(listed, now);
}

} // namespace monsoongrade::gateway
