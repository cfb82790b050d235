#include <monsoongrade/gateway/exchange.h>

#include <algorithm>

namespace monsoongrade::gateway {

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

} // namespace

// A late response to an earlier request speaks of the same endpoint as one to this request. A
// response of another endpoint, which has the address now, does not.
void Exchange::readAnnouncements(const EndpointResponseInfo &answer)
{
    if (answer.isLeaving && !answer.wrongEndpoint)
        onLeavingAnnounced();
    if (answer.provenNotRun && answer.maxRejections && !answer.wrongEndpoint)
        onRejectedForRoom(*answer.maxRejections);
    if (answer.pause)
        onPauseAnnounced(*answer.pause);
    const std::string &endpoint = endpoint_->registration.id.value();
    const std::string &request = metadata_.id.value();
    const auto level = observability::LogLevel::Warning;
    if (answer.isLeavingUnreadable)
        state_.log.write(level, "endpoint-leaving-unreadable",
                         {{"endpoint", endpoint}, {"request", request}});
    if (answer.isPauseUnreadable)
        state_.log.write(level, "endpoint-pause-unreadable",
                         {{"endpoint", endpoint}, {"request", request}});
    if (answer.isMaxRejectionsUnreadable)
        state_.log.write(level, "endpoint-rejections-unreadable",
                         {{"endpoint", endpoint}, {"request", request}});
    if (answer.isLimitUnreadable)
        state_.log.write(level, "endpoint-limit-unreadable",
                         {{"endpoint", endpoint}, {"request", request}});
}

// An endpoint says so in all responses from then on; the first one is logged.
void Exchange::onLeavingAnnounced()
{
    const routing::EndpointInstance instance = routing::instanceOf(endpoint_->registration);
    const bool wasKnown = endpoint_->leaving;
    if (!state_.setLeaving(instance, sentAt_))
        return;
    state_.log.write(observability::LogLevel::Info, "endpoint-announced-leaving",
                     {{"endpoint", instance.id.value()},
                      {"incarnation", instance.incarnation.value()},
                      {"request", metadata_.id.value()},
                      {"known", wasKnown ? "yes" : "no"}});
}

// Each host takes its equal part of the rejections that the endpoint survives, and keeps away from
// it after each one until the next is due.
void Exchange::onRejectedForRoom(routing::RequestsPerSecond maxRejections)
{
    state_.log.write(observability::LogLevel::Warning, "endpoint-rejected-for-room",
                     {{"endpoint", endpoint_->registration.id.value()},
                      {"request", metadata_.id.value()},
                      {"placed-by", state_.placement.placedBy(ticket_)},
                      {"slots", std::int64_t(endpoint_->registration.slots)},
                      {"was-known", endpoint_->maxRejections ? "yes" : "no"}});
    // Hosts that know how many the endpoint survives cause fewer, so that rejections of requests
    // sent in that knowledge do not explain its crash.
    if (!wasBrittleWhenSent_)
        state_.crashes.onRejected(routing::instanceOf(endpoint_->registration),
                                  state_.timers.now());
    const double ownShare = maxRejections / std::max(state_.liveHosts, 1);
    state_.announcements.addPause(routing::instanceOf(endpoint_->registration),
                                  routing::AdmissionWindow::pauseAfterRejection(ownShare),
                                  state_.timers.now());
}

void Exchange::onPauseAnnounced(std::chrono::duration<double> pause)
{
    state_.announcements.addPause(routing::instanceOf(endpoint_->registration), pause,
                                  state_.timers.now());
    state_.log.write(observability::LogLevel::Info, "endpoint-asked-for-pause",
                     {{"endpoint", endpoint_->registration.id.value()},
                      {"request", metadata_.id.value()},
                      {"for-seconds", pause.count()}});
}

std::vector<units::EndpointId> Exchange::pausedEndpoints() const
{
    std::vector<units::EndpointId> ids;
    const units::TimePoint now = state_.timers.now();
    for (const routing::EndpointInstance &paused : state_.announcements.paused(now)) {
        const auto status = state_.registry.findAvailable(paused.id);
        if (status != nullptr && status->registration.pool == pool_
            && !state_.announcements.allowsRequests(routing::instanceOf(status->registration), now))
            ids.push_back(paused.id);
    }
    return ids;
}

// Time until the first endpoint of the pool accepts requests of this host again; empty if one does
// now, or if there is none.
std::optional<units::Duration> Exchange::pauseOfPool() const
{
    std::optional<units::Duration> shortest;
    for (const auto &endpoint : state_.registry.available(pool_)) {
        const units::Duration remaining = state_.announcements.pauseRemaining(
            routing::instanceOf(endpoint->registration), state_.timers.now());
        if (remaining == units::Duration::zero())
            return std::nullopt;
        shortest = std::min(shortest.value_or(remaining), remaining);
    }
    return shortest;
}

// A rejection without a limit does not end it: the part of the endpoint that sent it may not know
// the limit.
void Exchange::updateLimits()
{
    const routing::EndpointInstance instance = routing::instanceOf(endpoint_->registration);
    routing::AnnouncedLimits limits{answer_.requestLimit, answer_.maxRejections};
    if (limits.rejections)
        state_.crashes.onBrittle(instance, state_.timers.now());
    if (answer_.provenNotRun) {
        if (!limits.hasAny())
            return;
        limits = completed(limits, state_.announcements.limitsOf(instance));
    }
    // A response to a request that was sent before a limit was announced does not end the limit.
    const units::TimePoint at = limits.hasAny() ? state_.timers.now() : sentAt_;
    const routing::AnnouncedLimits before{endpoint_->rateLimiter.limit(), endpoint_->maxRejections};
    if (!state_.announcements.setLimits(instance, limits, at)) {
        // A response without limits ends what was presumed of an endpoint with no earlier one.
        const bool isPresumed
            = endpoint_->maxRejections && state_.announcements.limitsOf(instance) == nullptr;
        if (isPresumed && !limits.hasAny())
            endpoint_->maxRejections.reset();
        return;
    }
    if (state_.placement.setLimits(*endpoint_, limits))
        logLimits(before, limits);
}

void Exchange::logLimits(const routing::AnnouncedLimits &before,
                         const routing::AnnouncedLimits &now)
{
    const std::string &endpoint = endpoint_->registration.id.value();
    const std::string &request = metadata_.id.value();
    if (before.requests != now.requests)
        state_.log.write(observability::LogLevel::Info, "endpoint-limit-changed",
                         {{"endpoint", endpoint},
                          {"request", request},
                          {"requests-per-second", now.requests.value_or(-1)}});
    if (before.rejections != now.rejections)
        state_.log.write(observability::LogLevel::Info, "endpoint-rejections-limited",
                         {{"endpoint", endpoint},
                          {"request", request},
                          {"rejections-per-second", now.rejections.value_or(-1)}});
}

} // namespace monsoongrade::gateway
