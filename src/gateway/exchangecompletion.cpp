#include <monsoongrade/gateway/exchange.h>

#include <gateway/internal/httpstatus.h>

namespace monsoongrade::gateway {

namespace {

using internal::isServerError;
using internal::isSuccess;

} // namespace

void Exchange::onResponseEnd()
{
    const auto self = shared_from_this();
    if (use_ == ResponseUse::OfOtherRequest) {
        // The response to this request follows on the same connection.
        use_ = ResponseUse::None;
        return;
    }
    if (use_ == ResponseUse::Relayed)
        finishRelay();
    else
        onCollectedEnd();
}

void Exchange::finishRelay()
{
    if (responseHead_.endsAtClose && events_.hasPartialEvent()) {
        // For a response without a length, a close in the middle of an event means truncation.
        onChannelFailure(httpio::ChannelFailure::BrokenInResponse);
        return;
    }
    if (!responseBegun_) {
        responseBegun_ = true;
        reply_->begin(responseHead_.status,
                      state_.headerCodec.clientHeaders(responseHead_.headers));
    }
    reply_->write(events_.takePartialEvent());
    reply_->end();
    endpoint_->health.onSuccess(state_.timers.now());
    recordCompletion();
    channel_.release(answer_.idleTimeout);
    releaseEndpoint(routing::PlacementEvent::Completed);
    finish("completed", responseHead_.status, units::ResultCode::Ok);
}

// The response is complete, and unless it was very long nothing has been sent to the client.
void Exchange::onCollectedEnd()
{
    const units::TimePoint now = state_.timers.now();
    const int status = responseHead_.status;
    channel_.release(answer_.idleTimeout);
    if (answer_.provenNotRun || answer_.wrongEndpoint) {
        endpoint_->health.onErrorResponse(now);
        if (answer_.wrongEndpoint) {
            // The address belongs to another endpoint now; the intended one is gone.
            endpoint_->leaving = true;
            --sends_;
        }
        if (answer_.pause || answer_.maxRejections)
            releaseEndpoint(routing::PlacementEvent::EndpointPaused);
        onAttemptFailed(units::ResultCode::EndpointRefused, false);
        return;
    }
    if (isSuccess(status) && !answer_.isSigned) {
        onEndpointFailure();
        onAttemptFailed(units::ResultCode::EndpointBrokeInAnswer, true);
        return;
    }
    if (responseBegun_ && route_->kind == routing::RouteKind::Stream) {
        // The endpoint that should continue the stream did not send a stream.
        endpoint_->health.onErrorResponse(now);
        onAttemptFailed(units::ResultCode::EndpointBrokeInAnswer, true);
        return;
    }
    if (!isServerError(status)) {
        endpoint_->health.onSuccess(now);
        recordCompletion();
        releaseEndpoint(routing::PlacementEvent::Completed);
        deliverCollected();
        return;
    }
    endpoint_->health.onErrorResponse(now);
    fallbackHead_ = responseHead_;
    fallbackBody_ = std::move(collected_);
    onAttemptFailed(units::ResultCode::EndpointRefused, true);
}

void Exchange::deliverCollected()
{
    if (responseBegun_) {
        reply_->write(collected_);
        reply_->end();
    } else {
        reply_->respond(responseHead_.status,
                        state_.headerCodec.clientHeaders(responseHead_.headers), collected_);
    }
    collected_.clear();
    fallbackBody_.clear();
    countHeldBytes();
    finish("completed", responseHead_.status, units::ResultCode::Ok);
}

} // namespace monsoongrade::gateway
