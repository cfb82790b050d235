#include <monsoongrade/gateway/exchange.h>

#include <gateway/internal/httpstatus.h>

#include <monsoongrade/httpio/messagewriter.h>

#include <charconv>

namespace monsoongrade::gateway {

namespace {

// Hosts that a request is passed to, one after the other.
constexpr std::size_t MaxForwards = 3;
// Endpoints to which the request could not be connected before it is passed on, on a host that has
// not found out yet whether it can reach the pool.
constexpr int UnreachableToForward = 2;

// The numbered code with which another host refused the request.
units::ResultCode refusalCode(const std::string &body)
{
    int code = int(units::ResultCode::EndpointRefused);
    std::from_chars(body.data(), body.data() + body.size(), code);
    return units::ResultCode(code);
}

bool isForWantOfEndpoint(units::ResultCode code)
{
    return code == units::ResultCode::NoEndpointAvailable
        || code == units::ResultCode::EndpointUnreachable;
}

} // namespace

// Returns the host that may be able to serve the request, if this one can't get it to an endpoint;
// empty if there is none, or if an endpoint may have got it already: it then stays here, where its
// sends are counted.
std::string Exchange::forwardingHost() const
{
    const bool isUnreachable
        = state_.reach.isLost(pool_) || unreachableEndpoints_ >= UnreachableToForward;
    const bool isAllowed = origin_ == RequestOrigin::Client && state_.forwardingPort != 0
        && sends_ == 0 && !mayHaveRun_ && !responseBegun_ && triedHosts_.size() < MaxForwards;
    if (!isUnreachable || !isAllowed)
        return {};
    return state_.forwardingHosts.select(state_.otherHosts, pool_, state_.ownDomain, triedHosts_,
                                         state_.timers.now());
}

void Exchange::forward(const std::string &host)
{
    if (!reply_->isClientConnected()) {
        onClientDisconnected();
        return;
    }
    triedHosts_.push_back(host);
    state_.forwardingHosts.onForwarded(host);
    state_.log.metrics.add("monsoongrade_gateway_requests_forwarded_total");
    state_.log.write(observability::LogLevel::Info, "request-forwarded",
                     {{"request", metadata_.id.value()},
                      {"pool", pool_.value()},
                      {"host", host},
                      {"pool-lost", state_.reach.isLost(pool_) ? "yes" : "no"}});
    const auto self = shared_from_this();
    forwarded_ = std::make_shared<ForwardedRequest>(
        state_.hostConnections, host + ":" + std::to_string(state_.forwardingPort),
        std::chrono::duration_cast<std::chrono::seconds>(state_.callerLimits.idleTimeout), reply_,
        state_.responseBytes,
        ForwardedRequest::Handlers{[self](const httpio::MessageHead &head) {
                                       return self->state_.headerCodec.decodeResponse(head).request
                                           == self->metadata_.id;
                                   },
                                   [self] { self->responseBegun_ = true; },
                                   [self](ForwardingResult result) {
                                       self->onForwardingEnded(result);
                                   }});
    forwarded_->start(
        httpio::encodeRequestHead(request_.head.method, request_.head.target,
                                  state_.headerCodec.forwardedHeaders(
                                      httpio::endToEndHeaders(request_.head.headers), timeLeft()),
                                  request_.body->size()),
        request_.body);
}

void Exchange::onForwardingEnded(ForwardingResult result)
{
    const auto self = shared_from_this();
    const std::shared_ptr<ForwardedRequest> forwarded = std::move(forwarded_);
    forwarded_.reset();
    state_.forwardingHosts.onEnded(triedHosts_.back());
    switch (result) {
    case ForwardingResult::Relayed:
        finish("completed", forwarded->status(), units::ResultCode::Ok);
        return;
    case ForwardingResult::Collected:
        onForwardedResponse(*forwarded);
        return;
    case ForwardingResult::NotSent:
        state_.forwardingHosts.onFailed(triedHosts_.back(), pool_, state_.timers.now());
        onAttemptFailed(units::ResultCode::EndpointUnreachable, false);
        return;
    case ForwardingResult::Broken:
        // The other host may have used up all attempts.
        sends_ = route_->maxAttempts;
        onAttemptFailed(units::ResultCode::EndpointBrokeBeforeAnswer, true);
        return;
    }
}

void Exchange::onForwardedResponse(const ForwardedRequest &forwarded)
{
    httpio::MessageHead head;
    head.status = forwarded.status();
    head.headers = forwarded.headers();
    const bool isOfEndpoint = state_.headerCodec.decodeResponse(head).isSigned;
    const units::ResultCode code
        = isOfEndpoint ? units::ResultCode::Ok : refusalCode(forwarded.body());
    const bool isNotRun = !isOfEndpoint && forwarded.status() == internal::StatusUnavailable;
    if (isNotRun && isForWantOfEndpoint(code)) {
        state_.forwardingHosts.onFailed(triedHosts_.back(), pool_, state_.timers.now());
        const std::string next = forwardingHost();
        if (!next.empty() && state_.timers.now() < deadline_) {
            forward(next);
            return;
        }
    }
    reply_->respond(head.status, httpio::endToEndHeaders(head.headers), forwarded.body());
    finish(isOfEndpoint ? "completed" : isNotRun ? "refused" : "failed", head.status, code);
}

} // namespace monsoongrade::gateway
