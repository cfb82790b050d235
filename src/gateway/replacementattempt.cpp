#include <monsoongrade/gateway/replacementattempt.h>

#include <gateway/internal/httpstatus.h>
#include <gateway/internal/malformedresponse.h>
#include <gateway/internal/responseannouncements.h>
#include <gateway/internal/responsebuffers.h>

#include <monsoongrade/routing/silencedecision.h>

#include <utility>

namespace monsoongrade::gateway {

ReplacementAttempt::ReplacementAttempt(GatewayState &state, units::RequestId request, bool isStream,
                                       ReplacementListener &listener)
    : state_(state)
    , request_(std::move(request))
    , isStream_(isStream)
    , listener_(listener)
{
}

void ReplacementAttempt::start(const routing::PlacementQuery &query, int maxConnections)
{
    const auto self = shared_from_this();
    isPlacing_ = true;
    placementStartedAt_ = state_.timers.now();
    placementNumber_ = state_.placement.place(
        query,
        [weak = weak_from_this(), maxConnections](const routing::PlacementTicket &ticket,
                                                  routing::PlacementChoice choice) {
            const auto open = weak.lock();
            if (open != nullptr && !open->isEnded_)
                open->onPlaced(ticket, std::move(choice), maxConnections);
        });
}

void ReplacementAttempt::onPlaced(const routing::PlacementTicket &ticket,
                                  routing::PlacementChoice choice, int maxConnections)
{
    isPlacing_ = false;
    if (choice.endpoint == nullptr) {
        fail(choice.retryDelay ? units::ResultCode::QueueFull
                               : units::ResultCode::NoEndpointAvailable,
             false);
        return;
    }
    attempt_.endpoint = std::move(choice.endpoint);
    attempt_.ticket = ticket;
    attempt_.tokensToRead = choice.tokensToRead;
    attempt_.expectedFirstEvent = choice.expectedFirstEvent;
    attempt_.cacheSource = std::move(choice.cacheSource);
    attempt_.endpoint->health.onSent(state_.timers.now());
    listener_.onReplacementPlaced(state_.timers.now() - placementStartedAt_);
    state_.connections.acquire(
        *attempt_.endpoint, maxConnections, false,
        [weak = weak_from_this(), &connections = state_.connections, endpoint = attempt_.endpoint](
            ConnectOutcome outcome, std::shared_ptr<httpio::Channel> channel) {
            const auto open = weak.lock();
            if (open != nullptr && !open->isEnded_)
                open->onConnection(outcome, std::move(channel));
            else if (channel != nullptr)
                connections.release(*endpoint, channel, std::nullopt);
        });
}

void ReplacementAttempt::onConnection(ConnectOutcome outcome,
                                      std::shared_ptr<httpio::Channel> channel)
{
    if (outcome != ConnectOutcome::Connected) {
        fail(units::ResultCode::EndpointUnreachable, outcome == ConnectOutcome::Failed);
        return;
    }
    attempt_.channel = HeldConnection(state_.connections, attempt_.endpoint, std::move(channel));
    listener_.onReplacementConnected();
}

void ReplacementAttempt::send(std::string head, std::shared_ptr<const std::string> body)
{
    attempt_.wasSent = true;
    attempt_.sentAt = state_.timers.now();
    attempt_.sentToVersion = attempt_.endpoint->registration.softwareVersion;
    attempt_.wasBrittleWhenSent = attempt_.endpoint->isBrittle(attempt_.sentAt);
    attempt_.channel.send(std::move(head), std::move(body), *this);
}

void ReplacementAttempt::withdraw()
{
    if (std::exchange(isEnded_, true))
        return;
    if (isPlacing_) {
        state_.placement.withdraw(placementNumber_);
        return;
    }
    attempt_.channel.reset();
    state_.placement.report(attempt_.ticket, routing::PlacementEvent::Withdrawn);
}

EndpointAttempt ReplacementAttempt::take()
{
    isEnded_ = true;
    return std::move(attempt_);
}

void ReplacementAttempt::onResponseHead(const httpio::MessageHead &head)
{
    const auto self = shared_from_this();
    const routing::EndpointRegistry::Status endpoint = attempt_.endpoint;
    endpoint->lastReceivedAt = state_.timers.now();
    const EndpointResponseInfo answer = state_.headerCodec.decodeResponse(head);
    routing::ReplacementResponse response;
    response.hasRequestId = !answer.request.isEmpty() || request_.isEmpty();
    response.isToRequest = answer.request == request_;
    response.isSuccess = internal::isSuccess(head.status);
    response.isServerError = internal::isServerError(head.status);
    response.isSigned = answer.isSigned;
    response.provenNotRun = answer.provenNotRun;
    response.isOfOtherEndpoint = answer.wrongEndpoint;
    response.mustBeStream = isStream_;
    const internal::SentRequest sent{request_, endpoint, attempt_.ticket, attempt_.sentAt,
                                     attempt_.wasBrittleWhenSent};
    switch (routing::judgeReplacement(response)) {
    case routing::ReplacementVerdict::TakesOver:
        listener_.onReplacementAccepted(head);
        return;
    case routing::ReplacementVerdict::OfOtherRequest:
        internal::readAnnouncements(state_, sent, answer);
        attempt_.isSkipping = true;
        return;
    case routing::ReplacementVerdict::Rejected:
        internal::readAnnouncements(state_, sent, answer);
        internal::updateLimits(state_, sent, answer);
        if (state_.crashes.size() > 0 && !answer.wrongEndpoint)
            state_.crashes.onAnswered(routing::instanceOf(endpoint->registration), attempt_.sentAt);
        rejection_ = answer;
        return;
    case routing::ReplacementVerdict::Unusable:
        onUnusableResponse();
        return;
    }
}

void ReplacementAttempt::onResponseBody(std::string_view bytes)
{
    skippedBytes_ += bytes.size();
    if (skippedBytes_ > internal::MaxSkippedBytes)
        onUnusableResponse();
}

void ReplacementAttempt::onResponseEnd()
{
    const auto self = shared_from_this();
    if (rejection_)
        onRejected(*rejection_);
    else
        attempt_.isSkipping = false;
}

void ReplacementAttempt::onRejected(const EndpointResponseInfo &answer)
{
    const routing::EndpointRegistry::Status endpoint = attempt_.endpoint;
    endpoint->health.onErrorResponse(state_.timers.now());
    // The address belongs to another endpoint now; the intended one is gone.
    if (answer.wrongEndpoint)
        endpoint->leaving = true;
    attempt_.channel.release(answer.idleTimeout);
    const bool isPause = answer.pause || answer.maxRejections;
    state_.placement.report(attempt_.ticket,
                            isPause ? routing::PlacementEvent::EndpointPaused
                                    : routing::PlacementEvent::Withdrawn);
    isEnded_ = true;
    FailedReplacement failed;
    failed.reason = units::ResultCode::EndpointRefused;
    failed.endpoint = endpoint;
    failed.ticket = attempt_.ticket;
    failed.mayHaveRun = !answer.provenNotRun && !answer.wrongEndpoint;
    failed.countsAsSend = !answer.wrongEndpoint;
    listener_.onReplacementFailed(failed);
}

void ReplacementAttempt::onUnusableResponse()
{
    const auto self = shared_from_this();
    attempt_.channel.discard();
    fail(units::ResultCode::EndpointBrokeInAnswer, true);
}

void ReplacementAttempt::onChannelFailure(httpio::ChannelFailure failure)
{
    const auto self = shared_from_this();
    const bool isUnsent = failure == httpio::ChannelFailure::NothingSent
        || failure == httpio::ChannelFailure::NotConnected;
    // An endpoint that sends bytes which are no response is faulty, but has not crashed.
    const bool isMalformed = failure == httpio::ChannelFailure::Malformed;
    if (isMalformed)
        internal::logMalformedResponse(state_.log, request_, attempt_.endpoint->registration.id,
                                       *attempt_.channel.channel());
    attempt_.channel.discard();
    isEnded_ = true;
    FailedReplacement failed;
    failed.reason = isUnsent ? units::ResultCode::EndpointUnreachable
        : failure == httpio::ChannelFailure::BrokenInResponse
        ? units::ResultCode::EndpointBrokeInAnswer
        : units::ResultCode::EndpointBrokeBeforeAnswer;
    failed.endpoint = attempt_.endpoint;
    failed.ticket = attempt_.ticket;
    failed.isEndpointsFault = true;
    failed.mayHaveRun = !isUnsent;
    failed.mayHaveCrashed = !isUnsent && !isMalformed;
    failed.countsAsSend = !isUnsent;
    listener_.onReplacementFailed(failed);
}

void ReplacementAttempt::fail(units::ResultCode reason, bool isEndpointsFault)
{
    const auto self = shared_from_this();
    isEnded_ = true;
    if (attempt_.endpoint != nullptr && !isEndpointsFault)
        state_.placement.report(attempt_.ticket, routing::PlacementEvent::Withdrawn);
    FailedReplacement failed;
    failed.reason = reason;
    failed.endpoint = attempt_.endpoint;
    failed.ticket = attempt_.ticket;
    failed.isEndpointsFault = isEndpointsFault;
    failed.mayHaveRun = attempt_.wasSent;
    failed.countsAsSend = attempt_.wasSent;
    listener_.onReplacementFailed(failed);
}

} // namespace monsoongrade::gateway
