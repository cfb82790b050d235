#include <gateway/internal/responseannouncements.h>

#include <algorithm>

namespace monsoongrade::gateway::internal {

namespace {

// The limits, where they are missing those known before; known may be null.
routing::AnnouncedLimits completed(routing::AnnouncedLimits limits,
                                   const routing::AnnouncedLimits *known)
{
    if (known == nullptr)
        return limits;
    if (!limits.requests)
        limits.requests = known->requests;
    if (!limits.rejections)
        limits.rejections = known->rejections;
    return limits;
}

// An endpoint says so in all responses from then on; the first one is logged.
void onLeavingAnnounced(GatewayState &state, const SentRequest &request)
{
    const routing::EndpointInstance instance = routing::instanceOf(request.endpoint->registration);
    const bool wasKnown = request.endpoint->leaving;
    if (!state.setLeaving(instance, request.sentAt))
        return;
    state.log.write(observability::LogLevel::Info, "endpoint-announced-leaving",
                    {{"endpoint", instance.id.value()},
                     {"incarnation", instance.incarnation.value()},
                     {"request", request.id.value()},
                     {"known", wasKnown ? "yes" : "no"}});
}

// Each host takes its equal part of the rejections that the endpoint survives, and keeps away from
// it after each one until the next is due.
void onRejectedForRoom(GatewayState &state, const SentRequest &request,
                       routing::RequestsPerSecond maxRejections)
{
    const routing::EndpointStatus &endpoint = *request.endpoint;
    state.log.write(observability::LogLevel::Warning, "endpoint-rejected-for-room",
                    {{"endpoint", endpoint.registration.id.value()},
                     {"request", request.id.value()},
                     {"placed-by", state.placement.placedBy(request.ticket)},
                     {"slots", std::int64_t(endpoint.registration.slots)},
                     {"was-known", endpoint.maxRejections ? "yes" : "no"}});
    // Hosts that know how many the endpoint survives cause fewer, so that rejections of requests
    // sent in that knowledge do not explain its crash.
    if (!request.wasBrittleWhenSent)
        state.crashes.onRejected(routing::instanceOf(endpoint.registration), state.timers.now());
    const double ownShare = maxRejections / std::max(state.liveHosts, 1);
    state.announcements.addPause(routing::instanceOf(endpoint.registration),
                                 routing::AdmissionWindow::pauseAfterRejection(ownShare),
                                 state.timers.now());
}

void onPauseAnnounced(GatewayState &state, const SentRequest &request,
                      std::chrono::duration<double> pause)
{
    const routing::DiscoveredEndpoint &endpoint = request.endpoint->registration;
    state.announcements.addPause(routing::instanceOf(endpoint), pause, state.timers.now());
    state.log.write(observability::LogLevel::Info, "endpoint-asked-for-pause",
                    {{"endpoint", endpoint.id.value()},
                     {"request", request.id.value()},
                     {"for-seconds", pause.count()}});
}

void logLimits(GatewayState &state, const SentRequest &request,
               const routing::AnnouncedLimits &before, const routing::AnnouncedLimits &now)
{
    const std::string &endpoint = request.endpoint->registration.id.value();
    if (before.requests != now.requests)
        state.log.write(observability::LogLevel::Info, "endpoint-limit-changed",
                        {{"endpoint", endpoint},
                         {"request", request.id.value()},
                         {"requests-per-second", now.requests.value_or(-1)}});
    if (before.rejections != now.rejections)
        state.log.write(observability::LogLevel::Info, "endpoint-rejections-limited",
                        {{"endpoint", endpoint},
                         {"request", request.id.value()},
                         {"rejections-per-second", now.rejections.value_or(-1)}});
}

} // namespace

void readAnnouncements(GatewayState &state, const SentRequest &request,
                       const EndpointResponseInfo &answer)
{
    if (answer.isLeaving && !answer.wrongEndpoint)
        onLeavingAnnounced(state, request);
    if (answer.provenNotRun && answer.maxRejections && !answer.wrongEndpoint)
        onRejectedForRoom(state, request, *answer.maxRejections);
    if (answer.pause)
        onPauseAnnounced(state, request, *answer.pause);
    const std::string &endpoint = request.endpoint->registration.id.value();
    const auto level = observability::LogLevel::Warning;
    if (answer.isLeavingUnreadable)
        state.log.write(level, "endpoint-leaving-unreadable",
                        {{"endpoint", endpoint}, {"request", request.id.value()}});
    if (answer.isPauseUnreadable)
        state.log.write(level, "endpoint-pause-unreadable",
                        {{"endpoint", endpoint}, {"request", request.id.value()}});
    if (answer.isMaxRejectionsUnreadable)
        state.log.write(level, "endpoint-rejections-unreadable",
                        {{"endpoint", endpoint}, {"request", request.id.value()}});
    if (answer.isLimitUnreadable)
        state.log.write(level, "endpoint-limit-unreadable",
                        {{"endpoint", endpoint}, {"request", request.id.value()}});
}

void updateLimits(GatewayState &state, const SentRequest &request,
                  const EndpointResponseInfo &answer)
{
    routing::EndpointStatus &endpoint = *request.endpoint;
    const routing::EndpointInstance instance = routing::instanceOf(endpoint.registration);
    routing::AnnouncedLimits limits{answer.requestLimit, answer.maxRejections};
    if (limits.rejections)
        state.crashes.onBrittle(instance, state.timers.now());
    if (answer.provenNotRun) {
        if (!limits.hasAny())
            return;
        limits = completed(limits, state.announcements.limitsOf(instance));
    }
    // A response to a request that was sent before a limit was announced does not end the limit.
    const units::TimePoint at = limits.hasAny() ? state.timers.now() : request.sentAt;
    const routing::AnnouncedLimits before{endpoint.rateLimiter.limit(), endpoint.maxRejections};
    if (!state.announcements.setLimits(instance, limits, at)) {
        // A response without limits ends what was presumed of an endpoint with no earlier one.
        const bool isPresumed
            = endpoint.maxRejections && state.announcements.limitsOf(instance) == nullptr;
        if (isPresumed && !limits.hasAny())
            endpoint.maxRejections.reset();
        return;
    }
    if (state.placement.setLimits(endpoint, limits))
        logLimits(state, request, before, limits);
}

} // namespace monsoongrade::gateway::internal
