#include <monsoongrade/gateway/exchange.h>

#include <monsoongrade/httpio/messagewriter.h>

#include <algorithm>

namespace monsoongrade::gateway {

namespace {

// A plain response up to this size is collected before the client gets any of it, so that one
// that breaks off can be replaced. Responses here have about 1 KB; a larger one is passed on as it
// comes, to bound the memory.
constexpr std::size_t MaxCollectedBytes = 256 * 1024;
// More than this waiting for a slow client stops reading from the endpoint. A stream's events
// are below 400 bytes, so this is minutes of a stream.
constexpr std::size_t MaxUnsentBytes = 64 * 1024;
// Share of an endpoint's connections that all hosts together use; the rest covers hosts that count
// each other a little differently.
constexpr double UsedShareOfConnections = 0.9;
constexpr int MinConnectionsPerHost = 2;
// For a pool that a route names and the configuration does not describe.
constexpr int DefaultMaxConnections = 64;
// Endpoints that work answer some request within this time: streams get an event every 40 to
// 200 ms, plain requests take 60 to 450 ms.
constexpr auto SilenceToSuspect = std::chrono::milliseconds(500);
// Engines read about 150 prompt tokens a millisecond on an idle machine.
constexpr std::int64_t TokensReadPerMs = 100;

bool isSuccess(int status)
{
    return status >= 200 && status < 300;
}

bool isServerError(int status)
{
    return status >= 500;
}

} // namespace

void Exchange::attempt()
{
    const units::TimePoint now = state_.timers.now();
    query_.targetIn = request_.receivedAt + route_->targetLatency - now;
    query_.expiresIn = std::min(deadline_, request_.receivedAt + route_->maxClientWait) - now;
    isPlacing_ = true;
    placingSince_ = now;
    placingNumber_
        = state_.placement.place(query_,
                                 [self = shared_from_this()](const routing::PlacementTicket &ticket,
                                                             routing::PlacementChoice choice) {
                                     self->onPlaced(ticket, std::move(choice));
                                 });
}

void Exchange::onPlaced(const routing::PlacementTicket &ticket, routing::PlacementChoice choice)
{
    isPlacing_ = false;
    if (finished_) {
        state_.placement.tell(ticket, routing::PlacementEvent::Withdrawn);
        return;
    }
    if (choice.endpoint == nullptr) {
        comeBackIn_ = choice.retryDelay;
        giveUp(mayHaveRun_ ? routing::NextStep::RespondOutcomeUnknown
                           : routing::NextStep::RefuseNotRun,
               comeBackIn_ ? units::ResultCode::QueueFull : units::ResultCode::NoEndpointAvailable);
        return;
    }
    endpoint_ = std::move(choice.endpoint);
    ticket_ = ticket;
    const units::Duration placing = state_.timers.now() - placingSince_;
    state_.log.metrics.observe("monsoongrade_gateway_placing_seconds", "", placing);
    tokensToRead_ = choice.tokensToRead;
    if (state_.log.mayWrite("request-placed"))
        logPlaced(placing);
    query_.tried.push_back(endpoint_->registration.id);
    endpoint_->health.onSent(state_.timers.now());
    use_ = ResponseUse::None;
    firstByteSeen_ = false;
    collected_.clear();
    const int connections
        = poolSettings_ == nullptr ? DefaultMaxConnections : poolSettings_->maxConnections;
    const int ownShare
        = std::max(MinConnectionsPerHost,
                   int(connections * UsedShareOfConnections) / std::max(state_.liveHosts, 1));
    const auto self = shared_from_this();
    state_.connections.acquire(
        *endpoint_, ownShare, !route_->mayRunTwice(),
        [self, endpoint = endpoint_](ConnectOutcome outcome,
                                     std::shared_ptr<httpio::Channel> channel) {
            if (self->finished_ && channel != nullptr)
                self->state_.connections.giveBack(*endpoint, channel, std::nullopt);
            else if (!self->finished_)
                self->onConnection(outcome, std::move(channel));
        });
}

void Exchange::onConnection(ConnectOutcome outcome, std::shared_ptr<httpio::Channel> channel)
{
    if (outcome == ConnectOutcome::Connected) {
        channel_ = std::move(channel);
        send();
        return;
    }
    if (outcome == ConnectOutcome::Failed)
        endpointFailed();
    attemptFailed(units::ResultCode::EndpointUnreachable, false);
}

void Exchange::send()
{
    const units::TimePoint now = state_.timers.now();
    if (endpoint_->leaving) {
        // It began to leave while the connection was made.
        attemptFailed(units::ResultCode::EndpointRefused, false);
        return;
    }
    // Other hosts may have reported crashes while the request waited for its endpoint.
    if (quarantineRemaining()) {
        giveUp(mayHaveRun_ ? routing::NextStep::RespondOutcomeUnknown
                           : routing::NextStep::RefuseNotRun,
               units::ResultCode::RequestQuarantined);
        return;
    }
    routing::RetryAllowance &allowance = retryAllowance();
    if (arrivals_ == 0) {
        allowance.onRequest(now);
    } else if (!allowance.trySpend(state_.retryLimit, state_.liveHosts, now)) {
        giveUp(mayHaveRun_ ? routing::NextStep::RespondOutcomeUnknown
                           : routing::NextStep::RefuseNotRun,
               units::ResultCode::RetryBudgetSpent);
        return;
    }
    ++arrivals_;
    ++sends_;
    sentAt_ = now;
    channel_->send(httpio::encodeRequestHead(request_.head.method, request_.head.target,
                                             endpointHeaders(), request_.body->size()),
                   request_.body, *this);
    const auto readTime = std::chrono::milliseconds(2 * tokensToRead_ / TokensReadPerMs);
    suspicionTimer_ = state_.timers.after(SilenceToSuspect + readTime,
                                          [self = shared_from_this()] { self->suspectIfSilent(); });
    if (route_->kind == routing::RouteKind::Idempotent)
        watchSilence(
            std::max<units::Duration>(std::chrono::milliseconds(300), 2 * route_->targetLatency));
    else if (route_->mayRunTwice())
        watchSilence(
            std::max<units::Duration>(std::chrono::seconds(1), route_->targetLatency * 5 / 2));
}

httpio::Headers Exchange::endpointHeaders() const
{
    EndpointRequest request;
    request.endpoint = endpoint_->registration.id;
    request.workspace = admission_.workspace;
    request.timeLeft = timeLeft();
    request.tier = admission_.tier;
    request.resumeAfter = events_.lastId().empty() ? facts_.lastEventId : events_.lastId();
    return state_.dialect.endpointHeaders(httpio::endToEndHeaders(request_.head.headers), request);
}

void Exchange::onResponseHead(const httpio::MessageHead &head)
{
    endpoint_->lastReceivedAt = state_.timers.now();
    const EndpointResponseInfo answer = state_.dialect.decodeResponse(head);
    const bool belongsHere
        = answer.request == facts_.id || (answer.request.isEmpty() && !isSuccess(head.status));
    if (!belongsHere) {
        use_ = ResponseUse::OfOtherRequest;
        return;
    }
    responseHead_ = head;
    answer_ = answer;
    noteLimit();
    if (state_.crashes.size() > 0 && !answer_.wrongEndpoint)
        state_.crashes.onAnswered(routing::instanceOf(endpoint_->registration), sentAt_);
    const bool isEventStream
        = route_->kind == routing::RouteKind::Stream && isSuccess(head.status) && answer.isSigned;
    use_ = isEventStream ? ResponseUse::Relayed : ResponseUse::Collected;
    if (use_ == ResponseUse::Collected)
        noteFirstByte();
}

// A rejection without a limit says nothing: it may come from a part of the endpoint that knows
// none.
void Exchange::noteLimit()
{
    if (answer_.isLimitUnreadable)
        state_.log.write(
            observability::LogLevel::Warning, "endpoint-limit-unreadable",
            {{"endpoint", endpoint_->registration.id.value()}, {"request", facts_.id.value()}});
    if (answer_.provenNotRun && !answer_.requestLimit)
        return;
    state_.limits.update(routing::instanceOf(endpoint_->registration), answer_.requestLimit,
                         state_.timers.now());
    if (!state_.placement.setLimit(*endpoint_, answer_.requestLimit))
        return;
    state_.log.write(observability::LogLevel::Info, "endpoint-limit-changed",
                     {{"endpoint", endpoint_->registration.id.value()},
                      {"request", facts_.id.value()},
                      {"requests-per-second", answer_.requestLimit.value_or(-1)}});
}

void Exchange::onResponseBody(std::string_view bytes)
{
    if (use_ == ResponseUse::Relayed) {
        endpoint_->lastReceivedAt = state_.timers.now();
        relay(bytes);
        return;
    }
    if (use_ != ResponseUse::Collected)
        return;
    collected_.append(bytes);
    if (collected_.size() <= MaxCollectedBytes || !isSuccess(responseHead_.status)
        || !answer_.isSigned)
        return;
    if (!responseBegun_) {
        responseBegun_ = true;
        reply_->begin(responseHead_.status, state_.dialect.clientHeaders(responseHead_.headers));
    }
    reply_->write(collected_);
    collected_.clear();
    slowDownIfUnsent();
}

void Exchange::relay(std::string_view bytes)
{
    const std::string whole = events_.take(bytes, state_.timers.now());
    if (whole.empty())
        return;
    noteFirstByte();
    if (events_.hasGap()) {
        const auto self = shared_from_this();
        dropChannel();
        giveUp(routing::NextStep::AbortResponse, units::ResultCode::EndpointBrokeInAnswer);
        return;
    }
    if (!responseBegun_) {
        responseBegun_ = true;
        reply_->begin(responseHead_.status, state_.dialect.clientHeaders(responseHead_.headers));
    }
    reply_->write(whole);
    if (route_->mayRunTwice())
        watchSilence(
            std::max<units::Duration>(std::chrono::milliseconds(700), route_->maxEventGap * 5 / 2));
    slowDownIfUnsent();
}

// A client that reads slowly slows down its own endpoint's stream, and its bytes do not pile up
// here.
void Exchange::slowDownIfUnsent()
{
    if (reply_->unsentBytes() > MaxUnsentBytes) {
        channel_->pauseReading();
        reply_->onDrained([self = shared_from_this()] {
            if (self->channel_ != nullptr)
                self->channel_->resumeReading();
        });
    }
}

// Usage counts a request once, however many endpoints began to run it.
void Exchange::noteBegan()
{
    if (hasBegun_ || answer_.provenNotRun || state_.usage == nullptr)
        return;
    hasBegun_ = true;
    state_.usage->onBegan(admission_.workspace);
}

void Exchange::noteFirstByte()
{
    if (firstByteSeen_)
        return;
    firstByteSeen_ = true;
    noteBegan();
    const units::TimePoint now = state_.timers.now();
    const double took = std::chrono::duration<double, std::milli>(now - sentAt_).count();
    // Engines read about 150 tokens a millisecond and need 30 to 40 ms beside; plain endpoints
    // usually answer within a quarter of their target.
    state_.log.metrics.observe("monsoongrade_gateway_first_byte_seconds",
                               observability::label("pool", pool_.value()),
                               now - request_.receivedAt);
    const double expected = query_.runsModel
        ? 50 + double(tokensToRead_) / double(TokensReadPerMs)
        : std::chrono::duration<double, std::milli>(route_->targetLatency).count() / 4;
    endpoint_->health.onLatency(std::max(1.0, took / std::max(expected, 1.0)), now);
    state_.placement.tell(ticket_, routing::PlacementEvent::FirstEvent);
}

void Exchange::onResponseEnd()
{
    const auto self = shared_from_this();
    if (use_ == ResponseUse::OfOtherRequest) {
        // The response to this request is still to come on the same connection.
        use_ = ResponseUse::None;
        return;
    }
    if (use_ == ResponseUse::Relayed)
        endRelay();
    else
        judgeCollected();
}

void Exchange::endRelay()
{
    if (responseHead_.endsAtClose && events_.hasPartialEvent()) {
        // Without a length, an orderly close within an event is a broken stream.
        onChannelFailure(httpio::ChannelFailure::BrokenInResponse);
        return;
    }
    if (!responseBegun_) {
        responseBegun_ = true;
        reply_->begin(responseHead_.status, state_.dialect.clientHeaders(responseHead_.headers));
    }
    reply_->write(events_.takePartialEvent());
    reply_->end();
    endpoint_->health.onSuccess(state_.timers.now());
    noteCompleted();
    state_.connections.giveBack(*endpoint_, channel_, answer_.idleTimeout);
    channel_.reset();
    releaseEndpoint(routing::PlacementEvent::Completed);
    finish("completed", responseHead_.status, units::ResultCode::Ok);
}

// The whole response is here, and unless it was very long the client has none of it.
void Exchange::judgeCollected()
{
    const units::TimePoint now = state_.timers.now();
    const int status = responseHead_.status;
    state_.connections.giveBack(*endpoint_, channel_, answer_.idleTimeout);
    channel_.reset();
    if (answer_.provenNotRun || answer_.wrongEndpoint) {
        endpoint_->health.onErrorResponse(now);
        if (answer_.wrongEndpoint) {
            // The address belongs to another endpoint now; the one meant is gone.
            endpoint_->leaving = true;
            --sends_;
        }
        attemptFailed(units::ResultCode::EndpointRefused, false);
        return;
    }
    if (isSuccess(status) && !answer_.isSigned) {
        endpointFailed();
        attemptFailed(units::ResultCode::EndpointBrokeInAnswer, true);
        return;
    }
    if (responseBegun_ && route_->kind == routing::RouteKind::Stream) {
        // The endpoint that was to continue the stream answered something else.
        endpoint_->health.onErrorResponse(now);
        attemptFailed(units::ResultCode::EndpointBrokeInAnswer, true);
        return;
    }
    if (!isServerError(status)) {
        endpoint_->health.onSuccess(now);
        noteCompleted();
        releaseEndpoint(routing::PlacementEvent::Completed);
        deliverCollected();
        return;
    }
    endpoint_->health.onErrorResponse(now);
    fallbackHead_ = responseHead_;
    fallbackBody_ = std::move(collected_);
    attemptFailed(units::ResultCode::EndpointRefused, true);
}

void Exchange::deliverCollected()
{
    if (responseBegun_) {
        reply_->write(collected_);
        reply_->end();
    } else {
        reply_->respond(responseHead_.status, state_.dialect.clientHeaders(responseHead_.headers),
                        collected_);
    }
    finish("completed", responseHead_.status, units::ResultCode::Ok);
}

} // namespace monsoongrade::gateway
