#include <monsoongrade/gateway/exchange.h>

#include <gateway/internal/httpstatus.h>
#include <gateway/internal/responseannouncements.h>
#include <gateway/internal/responsebuffers.h>

#include <monsoongrade/httpio/messagewriter.h>
#include <monsoongrade/routing/silencedecision.h>

#include <algorithm>

namespace monsoongrade::gateway {

namespace {

using internal::isSuccess;

// Share of an endpoint's connections that all hosts together use. The rest allows for hosts that
// see different numbers of live hosts.
constexpr double UsedShareOfConnections = 0.9;
constexpr int MinConnectionsPerHost = 2;
// For a pool that is named by a route but missing in the configuration.
constexpr int DefaultMaxConnections = 64;
// Healthy endpoints send something within this time: streams have an event every 40 to 200 ms,
// plain requests take 60 to 450 ms.
constexpr auto SilenceTimeout = std::chrono::milliseconds(500);
// Engines prefill about 150 prompt tokens per millisecond on an idle machine.
constexpr std::int64_t PrefillTokensPerMs = 100;

} // namespace

void Exchange::startAttempt()
{
    if (const std::string host = forwardingHost(); !host.empty()) {
        forward(host);
        return;
    }
    updateQuery();
    isPlacing_ = true;
    placementStartedAt_ = state_.timers.now();
    placementNumber_
        = state_.placement.place(query_,
                                 [self = shared_from_this()](const routing::PlacementTicket &ticket,
                                                             routing::PlacementChoice choice) {
                                     self->onPlaced(ticket, std::move(choice));
                                 });
}

void Exchange::updateQuery()
{
    const units::TimePoint now = state_.timers.now();
    query_.targetIn = request_.receivedAt + route_->targetLatency - now;
    query_.expiresIn = std::min(deadline_, request_.receivedAt + route_->maxClientWait) - now;
    query_.paused = pausedEndpoints();
}

void Exchange::onPlaced(const routing::PlacementTicket &ticket, routing::PlacementChoice choice)
{
    isPlacing_ = false;
    if (finished_) {
        state_.placement.report(ticket, routing::PlacementEvent::Withdrawn);
        return;
    }
    if (choice.endpoint == nullptr) {
        retryDelay_ = choice.retryDelay;
        isReturnScheduled_ = choice.isReturnScheduled;
        giveUp(mayHaveRun_ ? routing::NextStep::RespondOutcomeUnknown
                           : routing::NextStep::RefuseNotRun,
               retryDelay_ ? units::ResultCode::QueueFull : units::ResultCode::NoEndpointAvailable);
        return;
    }
    endpoint_ = std::move(choice.endpoint);
    ticket_ = ticket;
    const units::Duration placementTime = state_.timers.now() - placementStartedAt_;
    state_.log.metrics.observe("monsoongrade_gateway_placing_seconds", "", placementTime);
    tokensToRead_ = choice.tokensToRead;
    expectedFirstEvent_ = choice.expectedFirstEvent;
    cacheSource_ = std::move(choice.cacheSource);
    if (state_.log.mayWrite("request-placed"))
        logPlaced({endpoint_, ticket_, tokensToRead_, expectedFirstEvent_, cacheSource_},
                  placementTime);
    query_.tried.push_back(endpoint_->registration.id);
    endpoint_->health.onSent(state_.timers.now());
    use_ = ResponseUse::None;
    firstByteSeen_ = false;
    skippedBytes_ = 0;
    collected_.clear();
    const auto self = shared_from_this();
    state_.connections.acquire(
        *endpoint_, maxConnections(), !route_->mayRunTwice(),
        [self, endpoint = endpoint_](ConnectOutcome outcome,
                                     std::shared_ptr<httpio::Channel> channel) {
            if (self->finished_ && channel != nullptr)
                self->state_.connections.release(*endpoint, channel, std::nullopt);
            else if (!self->finished_)
                self->onConnection(outcome, std::move(channel));
        });
}

// This host's share of the connections that an endpoint of the pool accepts.
int Exchange::maxConnections() const
{
    const int connections
        = poolSettings_ == nullptr ? DefaultMaxConnections : poolSettings_->maxConnections;
    return std::max(MinConnectionsPerHost,
                    int(connections * UsedShareOfConnections) / std::max(state_.liveHosts, 1));
}

void Exchange::onConnection(ConnectOutcome outcome, std::shared_ptr<httpio::Channel> channel)
{
    if (outcome == ConnectOutcome::Connected) {
        channel_ = HeldConnection(state_.connections, endpoint_, std::move(channel));
        send();
        return;
    }
    if (outcome == ConnectOutcome::Failed) {
        ++unreachableEndpoints_;
        onEndpointFailure();
    }
    onAttemptFailed(units::ResultCode::EndpointUnreachable, false);
}

void Exchange::send()
{
    // A busy host reads the end of a connection long after the request that came before it.
    if (!reply_->isClientConnected()) {
        logClientLeftBeforeSend();
        releaseUnusedChannel();
        onClientDisconnected();
        return;
    }
    const units::TimePoint now = state_.timers.now();
    if (!maySendTo(*endpoint_)) {
        onAttemptFailed(units::ResultCode::EndpointRefused, false);
        return;
    }
    // Other hosts may have reported crashes while the request waited for an endpoint.
    if (quarantineRemaining()) {
        giveUp(mayHaveRun_ ? routing::NextStep::RespondOutcomeUnknown
                           : routing::NextStep::RefuseNotRun,
               units::ResultCode::RequestQuarantined);
        return;
    }
    routing::RetryAllowance &allowance = retryAllowance();
    if (totalSends_ == 0) {
        allowance.onRequest(now);
    } else if (!allowance.trySpend(state_.retryLimit, state_.liveHosts, now)) {
        giveUp(mayHaveRun_ ? routing::NextStep::RespondOutcomeUnknown
                           : routing::NextStep::RefuseNotRun,
               units::ResultCode::RetryBudgetSpent);
        return;
    }
    ++totalSends_;
    ++sends_;
    sentAt_ = now;
    wasBrittleWhenSent_ = endpoint_->isBrittle(now);
    sentToVersion_ = endpoint_->registration.softwareVersion;
    const std::string cacheSource = cacheSourceAddress(*endpoint_, cacheSource_);
    channel_.send(requestHeadFor(*endpoint_, cacheSource), request_.body, *this);
    if (!cacheSource.empty())
        countCacheCopy();
    startSuspicionTimer();
    if (route_->mayRunTwice())
        startSilenceTimer(routing::silenceLimit(*route_, false));
}

// False if the endpoint began to leave, asked for a pause, or is known to have another software
// version, since it was chosen.
bool Exchange::maySendTo(const routing::EndpointStatus &endpoint) const
{
    return !endpoint.leaving && routing::hasPermittedVersion(endpoint.registration, query_)
        && state_.announcements.allowsRequests(routing::instanceOf(endpoint.registration),
                                               state_.timers.now());
}

void Exchange::startSuspicionTimer()
{
    const auto readTime = std::chrono::milliseconds(2 * tokensToRead_ / PrefillTokensPerMs);
    suspicionTimer_ = state_.timers.after(SilenceTimeout + readTime,
                                          [self = shared_from_this()] { self->reportIfSilent(); });
}

std::string Exchange::requestHeadFor(const routing::EndpointStatus &endpoint,
                                     const std::string &cacheSource) const
{
    EndpointRequest request;
    request.endpoint = endpoint.registration.id;
    request.workspace = admission_.workspace;
    request.timeLeft = timeLeft();
    request.tier = admission_.tier;
    request.cacheSource = cacheSource;
    request.resumeAfter = events_.lastId().empty() ? metadata_.lastEventId : events_.lastId();
    const httpio::Headers headers = state_.headerCodec.endpointHeaders(
        httpio::endToEndHeaders(request_.head.headers), request);
    return httpio::encodeRequestHead(request_.head.method, request_.head.target, headers,
                                     request_.body->size());
}

// Empty if nothing is to be copied. The host that placed the request may not know yet that the
// source is leaving or gone.
std::string Exchange::cacheSourceAddress(const routing::EndpointStatus &endpoint,
                                         const units::EndpointId &cacheSource) const
{
    const bool isContinuation = isResumption() || !events_.lastId().empty();
    const auto source = state_.registry.findAvailable(cacheSource);
    if (isContinuation || source == nullptr || source->leaving || source.get() == &endpoint)
        return {};
    return source->registration.address;
}

void Exchange::countCacheCopy()
{
    state_.log.metrics.add("monsoongrade_gateway_cache_copies_total");
    state_.log.metrics.add("monsoongrade_gateway_cache_copied_tokens_total", "",
                           query_.promptTokens - query_.ownTokens);
}

void Exchange::onResponseHead(const httpio::MessageHead &head)
{
    endpoint_->lastReceivedAt = state_.timers.now();
    const EndpointResponseInfo answer = state_.headerCodec.decodeResponse(head);
    if (answer.request.isEmpty() && !metadata_.id.isEmpty()) {
        onResponseWithoutId(head.status);
        return;
    }
    const internal::SentRequest sent{metadata_.id, endpoint_, ticket_, sentAt_,
                                     wasBrittleWhenSent_};
    internal::readAnnouncements(state_, sent, answer);
    if (answer.request != metadata_.id) {
        use_ = ResponseUse::OfOtherRequest;
        return;
    }
    responseHead_ = head;
    answer_ = answer;
    internal::updateLimits(state_, sent, answer);
    if (state_.crashes.size() > 0 && !answer_.wrongEndpoint)
        state_.crashes.onAnswered(routing::instanceOf(endpoint_->registration), sentAt_);
    const bool isEventStream
        = route_->kind == routing::RouteKind::Stream && isSuccess(head.status) && answer.isSigned;
    use_ = isEventStream ? ResponseUse::Relayed : ResponseUse::Collected;
    if (isSuccess(head.status) && answer.isSigned)
        keepCurrentAttempt();
    // A rejection tells nothing of how long the endpoint takes to answer.
    if (use_ == ResponseUse::Collected && !answer_.provenNotRun && !answer_.wrongEndpoint)
        onFirstByte();
}

void Exchange::onResponseBody(std::string_view bytes)
{
    if (use_ == ResponseUse::Relayed) {
        endpoint_->lastReceivedAt = state_.timers.now();
        keepCurrentAttempt();
        relay(bytes);
        return;
    }
    if (use_ == ResponseUse::OfOtherRequest) {
        skippedBytes_ += bytes.size();
        if (skippedBytes_ > internal::MaxSkippedBytes)
            onResponseTooLong();
        return;
    }
    if (use_ != ResponseUse::Collected)
        return;
    if (isSuccess(responseHead_.status) && answer_.isSigned)
        keepCurrentAttempt();
    collected_.append(bytes);
    countHeldBytes();
    if (collected_.size() <= internal::maxCollectedBytes(*state_.responseBytes))
        return;
    if (!isSuccess(responseHead_.status) || !answer_.isSigned) {
        onResponseTooLong();
        return;
    }
    if (!responseBegun_) {
        responseBegun_ = true;
        reply_->begin(responseHead_.status,
                      state_.headerCodec.clientHeaders(responseHead_.headers));
    }
    reply_->write(collected_);
    collected_.clear();
    countHeldBytes();
    internal::throttleIfBacklogged(*reply_, channel_.channel(), *state_.responseBytes);
}

void Exchange::countHeldBytes()
{
    heldBytes_.set(collected_.size() + fallbackBody_.size() + events_.partialBytes());
}

void Exchange::relay(std::string_view bytes)
{
    const std::string whole = events_.feed(bytes, state_.timers.now());
    countHeldBytes();
    const std::size_t maxPartial = internal::maxCollectedBytes(*state_.responseBytes);
    if (events_.hasOversizedEvent() || events_.partialBytes() > maxPartial) {
        onResponseTooLong();
        return;
    }
    if (whole.empty())
        return;
    onFirstByte();
    if (events_.hasGap()) {
        const auto self = shared_from_this();
        dropChannel();
        giveUp(routing::NextStep::AbortResponse, units::ResultCode::EndpointBrokeInAnswer);
        return;
    }
    if (!responseBegun_) {
        responseBegun_ = true;
        reply_->begin(responseHead_.status,
                      state_.headerCodec.clientHeaders(responseHead_.headers));
    }
    onFirstEvent();
    reply_->write(whole);
    if (route_->mayRunTwice())
        startSilenceTimer(routing::silenceLimit(*route_, true));
    internal::throttleIfBacklogged(*reply_, channel_.channel(), *state_.responseBytes);
}

// Counts a request once, even if several endpoints began to run it.
void Exchange::countUsage()
{
    if (isUsageCounted_ || answer_.provenNotRun || state_.usage == nullptr)
        return;
    isUsageCounted_ = true;
    state_.usage->onRequestStarted(admission_.workspace);
}

// Time to the first byte that does not count as slow, in milliseconds.
double Exchange::expectedMs() const
{
    using Milliseconds = std::chrono::duration<double, std::milli>;
    // Plain endpoints usually respond within a quarter of their target latency.
    if (!query_.runsModel)
        return Milliseconds(route_->targetLatency).count() / 4;
    // Engines prefill about 150 tokens per millisecond and need another 30 to 40 ms. The learned
    // time is a mean that half of all requests exceed. On such engines it is shorter than this
    // allowance, which keeps their noise from counting as slowness.
    const double allowance = 50 + double(tokensToRead_) / double(PrefillTokensPerMs);
    return std::max(allowance, Milliseconds(expectedFirstEvent_).count());
}

void Exchange::onFirstByte()
{
    if (firstByteSeen_)
        return;
    firstByteSeen_ = true;
    countUsage();
    const units::TimePoint now = state_.timers.now();
    const double took = std::chrono::duration<double, std::milli>(now - sentAt_).count();
    state_.log.metrics.observe("monsoongrade_gateway_first_byte_seconds",
                               observability::label("pool", pool_.value()),
                               now - request_.receivedAt);
    endpoint_->health.onLatency(std::max(1.0, took / std::max(expectedMs(), 1.0)), now);
    state_.placement.report(ticket_, routing::PlacementEvent::FirstEvent);
}

} // namespace monsoongrade::gateway
