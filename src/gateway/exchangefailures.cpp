#include <monsoongrade/gateway/exchange.h>

#include <gateway/internal/httpstatus.h>
#include <gateway/internal/malformedresponse.h>
#include <gateway/internal/milliseconds.h>

#include <monsoongrade/routing/queueing/retryafter.h>

#include <algorithm>
#include <string>

namespace monsoongrade::gateway {

namespace {

using namespace internal;

// Endpoints enforce the deadline that they are given. Their response arrives a few milliseconds
// after it and is more informative than one made by the gateway.
constexpr auto WaitForEndpointTimeout = std::chrono::milliseconds(100);
// How long a request that must not be aborted may continue after its client has disconnected.
constexpr auto MaxTimeAfterDisconnect = std::chrono::seconds(5);

} // namespace

void Exchange::onChannelFailure(httpio::ChannelFailure failure)
{
    const auto self = shared_from_this();
    const bool isUnsent = failure == httpio::ChannelFailure::NothingSent
        || failure == httpio::ChannelFailure::NotConnected;
    // An endpoint that sends bytes which are no response is faulty, but has not crashed.
    const bool isMalformed = failure == httpio::ChannelFailure::Malformed;
    if (isMalformed)
        logMalformedResponse(state_.log, metadata_.id, endpoint_->registration.id,
                             *channel_.channel());
    dropChannel();
    if (!isUnsent && !isMalformed)
        recordCrash(*endpoint_);
    onEndpointFailure();
    if (isUnsent) {
        --sends_;
        onAttemptFailed(units::ResultCode::EndpointUnreachable, false);
        return;
    }
    const bool inResponse = failure == httpio::ChannelFailure::BrokenInResponse;
    onAttemptFailed(inResponse ? units::ResultCode::EndpointBrokeInAnswer
                               : units::ResultCode::EndpointBrokeBeforeAnswer,
                    true);
}

// A faulty endpoint may send without end.
void Exchange::onResponseTooLong()
{
    state_.log.write(observability::LogLevel::Warning, "endpoint-response-too-long",
                     {{"request", metadata_.id.value()},
                      {"endpoint", endpoint_->registration.id.value()},
                      {"status", responseHead_.status}});
    abandonResponse();
}

// Endpoints name the request in each response to one that has an id. Other bytes, such as an
// additional response of a faulty endpoint, must not become the result of this request.
void Exchange::onResponseWithoutId(int status)
{
    state_.log.write(observability::LogLevel::Warning, "endpoint-response-without-id",
                     {{"request", metadata_.id.value()},
                      {"endpoint", endpoint_->registration.id.value()},
                      {"status", status}});
    abandonResponse();
}

// The endpoint has not crashed, but nothing more that comes on the connection can be used.
void Exchange::abandonResponse()
{
    const auto self = shared_from_this();
    dropChannel();
    onEndpointFailure();
    onAttemptFailed(units::ResultCode::EndpointBrokeInAnswer, true);
}

void Exchange::onAttemptFailed(units::ResultCode reason, bool mayHaveRun)
{
    mayHaveRun_ = mayHaveRun_ || mayHaveRun;
    if (channel_ != nullptr)
        releaseUnusedChannel();
    logAttemptFailed(latestTarget(), reason);
    releaseEndpoint();
    if (clientDisconnected_) {
        finish("client-left", 0, units::ResultCode::CallerLeft);
        return;
    }
    if (replacement_ != nullptr && replacement_->hasRequest()) {
        takeReplacement();
        return;
    }
    dropReplacement();
    const routing::NextStep step = routing::decideAfterFailure(describeFailure(false));
    if (step == routing::NextStep::SendAgain) {
        events_.resume();
        startAttempt();
        return;
    }
    giveUp(step, reason);
}

routing::AttemptFailure Exchange::describeFailure(bool timedOut)
{
    const units::TimePoint now = state_.timers.now();
    routing::AttemptFailure failure;
    failure.mayHaveRun = mayHaveRun_;
    // Another run can continue a response that has begun only if it is a stream.
    failure.mayRunTwice
        = route_->mayRunTwice() && (!responseBegun_ || route_->kind == routing::RouteKind::Stream);
    failure.responseBegun = responseBegun_;
    failure.sends = sends_;
    failure.maxAttempts = route_->maxAttempts;
    failure.timedOut = timedOut || now >= deadline_;
    failure.isQuarantined = quarantineRemaining().has_value();
    // Without a path, each further endpoint would cost the client a connection timeout.
    const bool isWithoutPath = state_.reach.isLost(pool_) && unreachableEndpoints_ > 0;
    failure.hasAlternativeEndpoint
        = !forwardingHost().empty() || (!isWithoutPath && state_.placement.hasEndpoint(query_));
    failure.hasRetryBudget
        = totalSends_ == 0 || retryAllowance().hasLeft(state_.retryLimit, state_.liveHosts, now);
    return failure;
}

bool Exchange::canRetry()
{
    routing::AttemptFailure failure = describeFailure(false);
    failure.mayHaveRun = true;
    return routing::decideAfterFailure(failure) == routing::NextStep::SendAgain;
}

void Exchange::giveUp(routing::NextStep step, units::ResultCode reason)
{
    const auto self = shared_from_this();
    releaseEndpoint();
    if (step == routing::NextStep::AbortResponse || responseBegun_) {
        reply_->abort();
        finish("broken-off", 0, reason);
    } else if (fallbackHead_) {
        responseHead_ = std::move(*fallbackHead_);
        collected_ = std::move(fallbackBody_);
        deliverCollected();
    } else if (step == routing::NextStep::RefuseNotRun) {
        refuse(StatusUnavailable, reason, true);
    } else {
        refuse(step == routing::NextStep::RespondTimeout ? StatusGatewayTimeout : StatusBadGateway,
               reason, false);
    }
}

void Exchange::refuse(int status, units::ResultCode reason, bool mayRetry)
{
    if (reason == units::ResultCode::RequestQuarantined)
        logQuarantined();
    std::optional<units::Duration> delay;
    if (mayRetry || reason == units::ResultCode::RequestQuarantined)
        delay = retryAfter(reason);
    const std::string body
        = std::to_string(int(reason)) + " " + std::string(units::resultCodeName(reason)) + "\n";
    reply_->respond(status, state_.headerCodec.gatewayHeaders(metadata_.id, delay), body);
    finish(mayRetry ? "refused" : "failed", status, reason);
}

std::optional<units::Duration> Exchange::retryAfter(units::ResultCode reason)
{
    if (reason == units::ResultCode::RequestQuarantined)
        return quarantineRemaining();
    const bool isForWantOfEndpoint = reason == units::ResultCode::EndpointRefused
        || reason == units::ResultCode::NoEndpointAvailable;
    if (!retryDelay_ && isForWantOfEndpoint)
        retryDelay_ = pauseOfPool();
    // Jitter would miss the time for which room is booked.
    if (isReturnScheduled_ && reason == units::ResultCode::QueueFull)
        return *retryDelay_;
    return retryDelay_ ? routing::queueing::retryAfter(*retryDelay_, metadata_.id, timeLeft())
                       : routing::queueing::retryAfter(reason, metadata_.id, timeLeft());
}

// The operating system closes the connections to an endpoint that lost power or network only after
// 3 s. Silence on all requests of this host reveals the failure earlier.
void Exchange::reportIfSilent()
{
    if (finished_ || channel_ == nullptr || endpoint_->lastReceivedAt >= sentAt_)
        return;
    const units::TimePoint now = state_.timers.now();
    state_.reach.onSuspected(*endpoint_, sentAt_);
    state_.reach.whenFaultIsKnown(
        pool_, [self = shared_from_this(), ticket = ticket_](bool isEndpointsFault) {
            const bool isStillOpen
                = self->endpoint_ != nullptr && self->ticket_.number == ticket.number;
            // A sound endpoint may be silent for a second. If there is no other, waiting for it is
            // better than refusing; one that is down shows in connections that fail.
            const bool hasAlternative = self->state_.placement.hasEndpoint(self->query_);
            if (isEndpointsFault && isStillOpen && hasAlternative)
                self->state_.placement.report(ticket, routing::PlacementEvent::EndpointSilent);
        });
    state_.log.write(observability::LogLevel::Warning, "endpoint-suspected",
                     {{"request", metadata_.id.value()},
                      {"endpoint", endpoint_->registration.id.value()},
                      {"silent-ms", inMilliseconds(now - sentAt_)}});
}

void Exchange::onDeadline()
{
    if (finished_)
        return;
    if (clientDisconnected_) {
        if (channel_ != nullptr)
            dropChannel();
        finish("client-left", 0, units::ResultCode::CallerLeft);
        return;
    }
    const units::TimePoint now = state_.timers.now();
    // Another host answers at the deadline as well, a round trip later.
    const bool awaitsEndpoint = !responseBegun_
        && (forwarded_ != nullptr
            || (channel_ != nullptr && route_->kind != routing::RouteKind::Stream));
    if (awaitsEndpoint && now < deadline_ + WaitForEndpointTimeout) {
        deadlineTimer_ = state_.timers.at(deadline_ + WaitForEndpointTimeout,
                                          [self = shared_from_this()] { self->onDeadline(); });
        return;
    }
    const bool wasSent = channel_ != nullptr || (forwarded_ != nullptr && forwarded_->wasSent());
    mayHaveRun_ = mayHaveRun_ || wasSent;
    if (channel_ != nullptr)
        dropChannel();
    routing::AttemptFailure failure = describeFailure(true);
    giveUp(routing::decideAfterFailure(failure),
           wasSent ? units::ResultCode::EndpointSilent : units::ResultCode::WaitedTooLong);
}

void Exchange::onClientDisconnected()
{
    if (finished_)
        return;
    clientDisconnected_ = true;
    const bool leaveRunning = channel_ != nullptr && route_->kind == routing::RouteKind::AtMostOnce;
    if (leaveRunning) {
        // Aborting would leave work half done that must not be repeated.
        state_.timers.cancel(deadlineTimer_);
        deadlineTimer_ = state_.timers.after(MaxTimeAfterDisconnect,
                                             [self = shared_from_this()] { self->onDeadline(); });
        return;
    }
    if (channel_ != nullptr)
        dropChannel();
    finish("client-left", 0, units::ResultCode::CallerLeft);
}

void Exchange::releaseEndpoint(routing::PlacementEvent event)
{
    if (endpoint_ != nullptr)
        state_.placement.report(ticket_, event);
    forgetEndpoint();
}

void Exchange::forgetEndpoint()
{
    state_.timers.cancel(silenceTimer_);
    state_.timers.cancel(suspicionTimer_);
    channel_.reset();
    endpoint_.reset();
}

void Exchange::onEndpointFailure()
{
    reportEndpointFailure(endpoint_, ticket_);
    forgetEndpoint();
}

// A host that has lost its path would suspend sound endpoints for all hosts for which it places, or
// which place for it.
void Exchange::reportEndpointFailure(const routing::EndpointRegistry::Status &endpoint,
                                     const routing::PlacementTicket &ticket)
{
    state_.reach.whenFaultIsKnown(
        pool_, [self = shared_from_this(), endpoint, ticket](bool isEndpointsFault) {
            if (isEndpointsFault)
                self->countFailure(*endpoint, ticket);
            else
                self->state_.placement.report(ticket, routing::PlacementEvent::Withdrawn);
        });
}

// The host that placed the request counts the reported failure. If that is another host, this one
// counts it too.
void Exchange::countFailure(routing::EndpointStatus &endpoint,
                            const routing::PlacementTicket &ticket)
{
    const units::TimePoint now = state_.timers.now();
    const bool wasAccepting = endpoint.health.accepts(now);
    if (!state_.placement.isPlacedHere(ticket))
        endpoint.health.onFailure(now);
    state_.placement.report(ticket, routing::PlacementEvent::EndpointFailed);
    if (wasAccepting && !endpoint.health.accepts(now))
        state_.log.write(observability::LogLevel::Warning, "endpoint-suspended",
                         {{"endpoint", endpoint.registration.id.value()},
                          {"pool", pool_.value()},
                          {"request", metadata_.id.value()},
                          {"failure-share", endpoint.health.failureRate(now)}});
}

// Nothing was sent on the connection, so it can be reused.
void Exchange::releaseUnusedChannel()
{
    channel_.reset();
}

void Exchange::dropChannel()
{
    channel_.discard();
}

void Exchange::finish(std::string_view outcome, int status, units::ResultCode reason)
{
    if (finished_)
        return;
    const auto self = shared_from_this();
    finished_ = true;
    state_.openExchanges.erase(self);
    if (isPlacing_)
        state_.placement.withdraw(placementNumber_);
    dropReplacement();
    if (forwarded_ != nullptr) {
        forwarded_->cancel();
        forwarded_.reset();
        state_.forwardingHosts.onEnded(triedHosts_.back());
    }
    releaseEndpoint();
    state_.timers.cancel(deadlineTimer_);
    const std::string outcomeLabel = observability::label("outcome", std::string(outcome));
    state_.log.metrics.add(
        "monsoongrade_gateway_requests_ended_total",
        outcomeLabel + ","
            + observability::label("reason", std::string(units::resultCodeName(reason))));
    state_.log.metrics.observe("monsoongrade_gateway_request_seconds", outcomeLabel,
                               state_.timers.now() - request_.receivedAt);
    const bool isFailure
        = reason != units::ResultCode::Ok && reason != units::ResultCode::CallerLeft;
    // Failures have a separate budget, so that successes cannot suppress their log lines.
    if (state_.log.mayWrite(isFailure ? "request-failed" : "request-done"))
        logEnd(outcome, status, reason);
}

units::Duration Exchange::timeLeft() const
{
    return std::max<units::Duration>(deadline_ - state_.timers.now(), units::Duration::zero());
}

routing::RetryAllowance &Exchange::retryAllowance()
{
    return state_.retryAllowances.try_emplace(pool_.value(), state_.startedAt).first->second;
}

} // namespace monsoongrade::gateway
