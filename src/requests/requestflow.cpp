#include <monsoongrade/requests/requestflow.h>

#include <monsoongrade/observability/log.h>

namespace monsoongrade::requests {

namespace {

using endpoints::FlowControl;
using scheduling::ReleaseOutcome;
using units::ResultCode;

// A slow reader's answer waits in this much memory; above it the endpoint is not read, and the
// reading goes on when half has left.
constexpr std::size_t MostBytesWaiting = 256 * 1024;
// Answers that are not streamed are held until they are whole, up to this size; a larger one
// is relayed as it comes.
constexpr std::size_t MostBytesHeld = 8 * 1024 * 1024;
constexpr auto RetryAfterFault = std::chrono::seconds(2);

bool isEventStream(const endpoints::Headers &headers)
{
    for (const auto &[name, value] : headers) {
        if (name == "content-type")
            return value.compare(0, 17, "text/event-stream") == 0;
    }
    return false;
}

http::Headers passedBack(const endpoints::Headers &headers, const units::RequestId &id)
{
    http::Headers out;
    for (const auto &[name, value] : headers) {
        if (name == "content-length" || name == "transfer-encoding" || name == "connection"
            || name == "keep-alive" || name == "server" || name == "date")
            continue;
        out.emplace_back(name, value);
    }
    out.emplace_back("monsoongrade-request-id", id.value());
    return out;
}

} // namespace

RequestFlow::RequestFlow(const FlowServices &services, ClassifiedRequest request,
                         std::shared_ptr<http::HttpResponder> responder,
                         std::function<void()> onEnd)
    : services_(services)
    , request_(std::move(request))
    , responder_(std::move(responder))
    , onEnd_(std::move(onEnd))
    , arrived_(services.clock.now())
{
}

void RequestFlow::start()
{
    responder_->onGone([weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->callerGone();
    });
    const std::lock_guard lock(mutex_);
    services_.metrics.add("monsoongrade_requests_accepted_total", classLabel());
    record(DecisionKind::Classified, ResultCode::Ok,
           request_.classConfig.policy.name.value() + " of " + request_.workspace.value());
    askForSlot();
}

void RequestFlow::callerGone()
{
    const std::lock_guard lock(mutex_);
    if (state_ == State::Ended || callerGone_)
        return;
    callerGone_ = true;
    if (state_ == State::Asking) {
        services_.slots.cancel(makeAsk());
        end("monsoongrade_requests_refused_total", ResultCode::CallerLeft);
        return;
    }
    if (!request_.classConfig.cancelOnDisconnect)
        return;
    services_.client.cancel(call_);
    releaseSlot(ReleaseOutcome::CallerLeft);
    end("monsoongrade_requests_failed_total", ResultCode::CallerLeft);
}

void RequestFlow::slotGranted(const scheduling::SlotGrant &grant)
{
    const std::lock_guard lock(mutex_);
    grant_ = grant;
    callStarted_ = services_.clock.now();
    if (state_ != State::Asking) {
        releaseSlot(ReleaseOutcome::NotRun);
        return;
    }
    record(DecisionKind::Granted, ResultCode::Ok, grant.endpoint.value());
    const auto *endpoint = request_.configuration->findEndpoint(grant.endpoint);
    if (endpoint == nullptr) {
        attempt_.end.code = ResultCode::NoEndpointAvailable;
        releaseSlot(ReleaseOutcome::NotRun);
        refuse(ResultCode::NoEndpointAvailable, "the endpoint is no longer configured",
               RetryAfterFault);
        return;
    }
    call(*endpoint);
}

void RequestFlow::slotRefused(const scheduling::SlotRefusal &refusal)
{
    const std::lock_guard lock(mutex_);
    if (state_ != State::Asking)
        return;
    refuse(refusal.code, "no place on an endpoint; come back after the given time",
           refusal.retryAfter);
}

void RequestFlow::answerHead(int status, const endpoints::Headers &headers)
{
    const std::lock_guard lock(mutex_);
    if (state_ != State::Calling)
        return;
    attempt_.status = status;
    answerHeaders_ = headers;
    if (isEventStream(headers) && !refusedBeforeRunning(attempt_, request_.pool.kind))
        beginRelay(status, headers);
}

FlowControl RequestFlow::answerBody(std::string_view bytes)
{
    const std::lock_guard lock(mutex_);
    if (state_ != State::Calling)
        return FlowControl::Continue;
    if (!firstTokenSeen_ && !refusedBeforeRunning(attempt_, request_.pool.kind)) {
        firstTokenSeen_ = true;
        services_.metrics.observe("monsoongrade_first_token_seconds", classLabel(),
                                  services_.clock.now() - arrived_);
    }
    if (!relaying_ && wholeBody_.size() + bytes.size() > MostBytesHeld)
        beginRelay(attempt_.status, answerHeaders_);
    if (!relaying_) {
        wholeBody_.append(bytes);
        return FlowControl::Continue;
    }
    relay(bytes);
    paused_ = bytesWaiting_ > MostBytesWaiting;
    return paused_ ? FlowControl::Pause : FlowControl::Continue;
}

void RequestFlow::answerEnd(const endpoints::EndpointEnd &endpointEnd)
{
    const std::lock_guard lock(mutex_);
    if (state_ != State::Calling)
        return;
    attempt_.end = endpointEnd;
    attempt_.truncated = relaying_ && isEventStream(answerHeaders_) && !scanner_.isClosed();
    if (attempt_.truncated && attempt_.end.code == ResultCode::Ok)
        attempt_.end.code = ResultCode::EndpointBrokeInAnswer;
    const ResultCode code = refusedBeforeRunning(attempt_, request_.pool.kind)
        ? ResultCode::EndpointRefused
        : attempt_.end.code;
    switch (decideNextStep(attempt_, request_.run, request_.pool.kind)) {
    case NextStep::Complete:
        releaseSlot(ReleaseOutcome::Completed);
        complete();
        return;
    case NextStep::TryElsewhere:
        releaseSlot(ReleaseOutcome::EndpointFailed);
        tryElsewhere(code);
        return;
    case NextStep::RefuseNotRun:
        releaseSlot(ReleaseOutcome::NotRun);
        refuse(code, "no endpoint ran the request; come back after the given time",
               RetryAfterFault);
        return;
    case NextStep::FailUnknown:
        releaseSlot(ReleaseOutcome::EndpointFailed);
        fail(code, "the endpoint broke off; the request may have run", RunState::Unknown);
        return;
    case NextStep::FailPartial:
        releaseSlot(ReleaseOutcome::EndpointFailed);
        fail(code, "the endpoint broke off within the answer", RunState::Partial);
        return;
    }
}

scheduling::SlotAsk RequestFlow::makeAsk() const
{
    scheduling::SlotAsk ask;
    ask.request = request_.id;
    ask.router = services_.self;
    ask.pool = request_.pool.name;
    ask.className = request_.classConfig.policy.name;
    ask.workspace = request_.workspace;
    ask.prefix = request_.prefix;
    ask.waited = services_.clock.now() - arrived_;
    ask.avoid = failedEndpoints_;
    return ask;
}

void RequestFlow::askForSlot()
{
    state_ = State::Asking;
    record(DecisionKind::Queued, ResultCode::Ok, request_.pool.name.value());
    services_.slots.ask(makeAsk(), shared_from_this());
}

void RequestFlow::call(const configuration::EndpointConfig &endpoint)
{
    state_ = State::Calling;
    endpoints::EndpointRequest request;
    request.method = request_.method;
    request.url = "http://" + endpoint.address + ":" + std::to_string(endpoint.port)
        + request_.pathAndQuery;
    request.headers = request_.headers;
    request.body = request_.body;
    request.silenceTimeout = request_.pool.silenceTimeout;
    request.freshConnection = request_.run == configuration::RunRule::AtMostOnce;
    record(DecisionKind::Called, ResultCode::Ok, endpoint.id.value());
    call_ = services_.client.start(std::move(request), shared_from_this());
}

void RequestFlow::beginRelay(int status, const endpoints::Headers &headers)
{
    relaying_ = true;
    attempt_.answerStarted = true;
    responder_->begin(status, passedBack(headers, request_.id));
    if (!wholeBody_.empty())
        relay(std::exchange(wholeBody_, {}));
}

void RequestFlow::relay(std::string_view bytes)
{
    scanner_.scan(bytes);
    if (callerGone_)
        return;
    bytesWaiting_ += bytes.size();
    responder_->write(std::string(bytes), [weak = weak_from_this()](std::size_t count) {
        if (const auto self = weak.lock())
            self->bytesLeft(count);
    });
}

void RequestFlow::bytesLeft(std::size_t bytes)
{
    const std::lock_guard lock(mutex_);
    bytesWaiting_ -= std::min(bytes, bytesWaiting_);
    if (!paused_ || bytesWaiting_ > MostBytesWaiting / 2)
        return;
    paused_ = false;
    if (state_ == State::Calling)
        services_.client.resume(call_);
}

void RequestFlow::releaseSlot(ReleaseOutcome outcome)
{
    scheduling::SlotRelease release;
    release.grant = grant_.id;
    release.tokens = units::TokenCount(scanner_.events());
    release.held = services_.clock.now() - callStarted_;
    release.outcome = outcome;
    services_.slots.release(grant_, release);
}

void RequestFlow::tryElsewhere(ResultCode code)
{
    services_.metrics.add("monsoongrade_retries_total",
                          observability::label("reason", std::string(resultCodeName(code))));
    record(DecisionKind::Retried, code, grant_.endpoint.value());
    failedEndpoints_.push_back(grant_.endpoint);
    const int made = attempt_.attemptsMade + 1;
    attempt_ = AttemptResult();
    attempt_.attemptsMade = made;
    wholeBody_.clear();
    answerHeaders_.clear();
    askForSlot();
}

void RequestFlow::complete()
{
    if (relaying_)
        responder_->end();
    else
        responder_->answer(attempt_.status, passedBack(answerHeaders_, request_.id),
                           std::move(wholeBody_));
    record(DecisionKind::Completed, ResultCode::Ok, std::to_string(scanner_.events()) + " events");
    end("monsoongrade_requests_completed_total", ResultCode::Ok);
}

void RequestFlow::refuse(ResultCode code, const std::string &message, units::Duration retryAfter)
{
    record(DecisionKind::Refused, code, message);
    sendRefusal(*responder_, {request_.id, {code, message}, RunState::NotRun, retryAfter});
    end("monsoongrade_requests_refused_total", code);
}

void RequestFlow::fail(ResultCode code, const std::string &message, RunState runState)
{
    record(DecisionKind::Failed, code, message);
    const Refusal refusal{request_.id, {code, message}, runState, {}};
    if (!relaying_) {
        sendRefusal(*responder_, refusal);
    } else if (isEventStream(answerHeaders_)) {
        responder_->write(refusalEvent(refusal), {});
        responder_->end();
    } else {
        // Only a broken connection tells this caller that the answer is not whole.
        responder_->abort();
    }
    end("monsoongrade_requests_failed_total", code);
}

void RequestFlow::end(const std::string &outcomeMetric, ResultCode code)
{
    state_ = State::Ended;
    std::string labels = classLabel();
    if (code != ResultCode::Ok)
        labels += "," + observability::label("reason", std::string(resultCodeName(code)));
    services_.metrics.add(outcomeMetric, labels);
    services_.metrics.observe("monsoongrade_request_seconds", classLabel(),
                              services_.clock.now() - arrived_);
    onEnd_();
}

void RequestFlow::record(DecisionKind kind, ResultCode code, const std::string &detail)
{
    services_.decisions.add({request_.id, services_.clock.now(), kind, code, detail});
    const auto level = kind == DecisionKind::Refused || kind == DecisionKind::Failed
        ? observability::LogLevel::Info
        : observability::LogLevel::Debug;
    observability::log(level, decisionKindName(kind),
                       {{"request", request_.id.value()},
                        {"class", request_.classConfig.policy.name.value()},
                        {"workspace", request_.workspace.value()},
                        {"code", static_cast<int>(code)},
                        {"detail", detail}});
}

std::string RequestFlow::classLabel() const
{
    return observability::label("class", request_.classConfig.policy.name.value());
}

} // namespace monsoongrade::requests
