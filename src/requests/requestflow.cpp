#include <monsoongrade/requests/requestflow.h>

#include <requests/internal/answerheaders.h>
#include <requests/internal/endpointcall.h>
#include <requests/internal/slotask.h>
#include <requests/internal/spreadretry.h>
#include <requests/internal/steplistener.h>
#include <requests/internal/tokensused.h>

#include <monsoongrade/units/jitter.h>

namespace monsoongrade::requests {

namespace {

using endpoints::FlowControl;
using internal::StepListener;
using scheduling::ReleaseOutcome;
using units::ResultCode;

// Answers that are not streamed are held until they are whole, up to this size; a larger one
// is relayed as it comes.
constexpr std::size_t MaxBytesHeld = 8 * 1024 * 1024;
constexpr auto MinRetryAfterFault = std::chrono::seconds(2);
// A retry waits a part of this, more for each attempt, so that requests that failed together
// don't come back together.
constexpr auto MaxJitter = std::chrono::milliseconds(50);
// Grants of endpoints that this router does not know as being in service. The pauses add up to
// 1.5 s, longer than news of a change takes to all daemons.
constexpr int MaxGrantsReturned = 5;
constexpr auto PauseAfterReturn = std::chrono::milliseconds(100);

} // namespace

RequestFlow::RequestFlow(const FlowServices &services, ClassifiedRequest request,
                         RequestAccount account, std::shared_ptr<http::HttpResponder> responder,
                         std::function<void(const FlowEnd &)> onEnd)
    : services_(services)
    , request_(std::move(request))
    , responder_(std::move(responder))
    , onEnd_(std::move(onEnd))
    , account_(std::move(account))
    , relay_(*responder_, request_.answerShared)
    , retryAfterFault_(internal::spreadRetry(MinRetryAfterFault, request_.id))
{
}

RequestFlow::~RequestFlow()
{
    if (state_ != State::Ended)
        giveUp(ResultCode::InternalFault, "the router lost track of the request", retryAfterFault_);
}

void RequestFlow::start()
{
    responder_->onGone([weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->callerGone();
    });
    const std::lock_guard lock(mutex_);
    relay_.onLeft([weak = weak_from_this()](std::size_t bytes) {
        if (const auto self = weak.lock())
            self->bytesLeft(bytes);
    });
    if (state_ == State::New)
        askForSlot();
}

void RequestFlow::callerGone()
{
    const std::lock_guard lock(mutex_);
    if (state_ == State::Ended || callerGone_)
        return;
    callerGone_ = true;
    relay_.callerGone();
    if (state_ == State::Calling) {
        if (!request_.classConfig.cancelOnDisconnect)
            return;
        services_.client.cancel(call_);
        mayHaveRun_ = true;
        releaseSlot(ReleaseOutcome::CallerLeft);
    } else if (state_ == State::Asking) {
        services_.slots.cancel(makeAsk());
    }
    end({ResultCode::CallerLeft, mayHaveRun_ ? RunState::Unknown : RunState::NotRun},
        "the caller closed its connection");
}

void RequestFlow::slotGranted(std::uint64_t step, const scheduling::SlotGrant &grant)
{
    const std::lock_guard lock(mutex_);
    if (step != step_ || state_ != State::Asking) {
        services_.slots.release(grant, {grant.id, {}, {}, ReleaseOutcome::NotRun});
        return;
    }
    grant_ = grant;
    callStarted_ = services_.clock.now();
    eventsAtCall_ = relay_.events();
    account_.record(DecisionKind::Granted, ResultCode::Ok, grant.endpoint.value());
    // Not the configuration under which the request was classified: while it waited, endpoints may
    // have been added, whose slot would be refused, or taken away, which must get no new work.
    const auto endpoint = services_.directory.find(request_.pool.name, grant.endpoint);
    if (endpoint)
        call(*endpoint);
    else
        returnGrant();
}

// The scheduler knows more or less than this router; for a moment they differ at each change. A
// few other grants are waited for, so that a request isn't refused for the change, and no more
// than a few, so that a scheduler that stays cut off doesn't keep it for ever.
void RequestFlow::returnGrant()
{
    releaseSlot(ReleaseOutcome::NotRun);
    services_.metrics.add("monsoongrade_grants_returned_total");
    if (++grantsReturned_ > MaxGrantsReturned) {
        giveUp(ResultCode::NoEndpointAvailable,
               "the endpoints that were granted are not in service here, the last one "
                   + grant_.endpoint.value(),
               retryAfterFault_);
        return;
    }
    account_.record(DecisionKind::Queued, ResultCode::NoEndpointAvailable,
                    grant_.endpoint.value() + " is not in service here");
    failedEndpoints_.push_back(grant_.endpoint);
    askLater(PauseAfterReturn * grantsReturned_);
}

void RequestFlow::slotRefused(std::uint64_t step, const scheduling::SlotRefusal &refusal)
{
    const std::lock_guard lock(mutex_);
    if (step == step_ && state_ == State::Asking)
        giveUp(refusal.code, "there was no place on an endpoint", refusal.retryAfter);
}

void RequestFlow::answerHead(std::uint64_t step, int status, const endpoints::Headers &headers)
{
    const std::lock_guard lock(mutex_);
    if (step != step_ || state_ != State::Calling)
        return;
    attempt_.status = status;
    answerHeaders_ = headers;
    if (!resumes_ && isEventStream() && !refusedBeforeRunning(attempt_, request_.pool.kind))
        beginRelay();
}

FlowControl RequestFlow::answerBody(std::uint64_t step, std::string_view bytes)
{
    const std::lock_guard lock(mutex_);
    if (step != step_ || state_ != State::Calling)
        return FlowControl::Continue;
    if (!refusedBeforeRunning(attempt_, request_.pool.kind))
        account_.firstToken();
    if (!relay_.hasBegun() && wholeBody_.size() + bytes.size() > MaxBytesHeld)
        beginRelay();
    if (!relay_.hasBegun()) {
        wholeBody_.append(bytes);
        return FlowControl::Continue;
    }
    // A call that was to go on with a stream and was answered with something else adds nothing.
    if (relay_.passesEvents() && !isEventStream())
        return FlowControl::Continue;
    relay_.take(bytes);
    paused_ = relay_.isFull();
    return paused_ ? FlowControl::Pause : FlowControl::Continue;
}

void RequestFlow::answerEnd(std::uint64_t step, const endpoints::EndpointEnd &endpointEnd)
{
    const std::lock_guard lock(mutex_);
    if (step != step_ || state_ != State::Calling)
        return;
    judgeEnd(endpointEnd);
    const bool refused = refusedBeforeRunning(attempt_, request_.pool.kind);
    const ResultCode code = refused ? ResultCode::EndpointRefused : attempt_.end.code;
    const bool ran = attempt_.end.requestSent && !refused;
    mayHaveRun_ = mayHaveRun_ || ran;
    const NextStep next = decideNextStep(attempt_, request_.run, request_.pool.kind);
    if (next == NextStep::Complete)
        releaseSlot(ReleaseOutcome::Completed);
    else
        releaseSlot(next == NextStep::RefuseNotRun ? ReleaseOutcome::NotRun
                                                   : ReleaseOutcome::EndpointFailed);
    followUp(next, code);
}

// An answer counts as whole only where something in it says so.
void RequestFlow::judgeEnd(const endpoints::EndpointEnd &endpointEnd)
{
    attempt_.end = endpointEnd;
    attempt_.answerStarted = relay_.hasBegun();
    if (endpointEnd.code == ResultCode::Ok && relay_.passesEvents() && isEventStream()
        && relay_.isAtEventBoundary())
        relay_.takePartialEvent();
    if (relay_.passesEvents())
        attempt_.truncated = !relay_.isClosed();
    else
        attempt_.truncated
            = !internal::hasKnownEnd(attempt_.status, request_.method, answerHeaders_);
    if (attempt_.truncated && attempt_.end.code == ResultCode::Ok)
        attempt_.end.code = ResultCode::EndpointBrokeInAnswer;
    attempt_.resumable
        = request_.pool.canResume && relay_.passesEvents() && relay_.isAtEventBoundary();
}

void RequestFlow::followUp(NextStep next, ResultCode code)
{
    switch (next) {
    case NextStep::Complete:
        complete();
        return;
    case NextStep::TryElsewhere:
    case NextStep::Resume:
        tryElsewhere(code);
        return;
    case NextStep::RefuseNotRun:
        giveUp(code, "no endpoint took the request", retryAfterFault_);
        return;
    case NextStep::FailUnknown:
        giveUp(code, "the endpoint broke off before its answer was whole", retryAfterFault_);
        return;
    case NextStep::FailPartial:
        giveUp(code, "the endpoint broke off within the answer", retryAfterFault_);
        return;
    }
}

scheduling::SlotAsk RequestFlow::makeAsk() const
{
    scheduling::SlotAsk ask = internal::slotAsk(request_, services_.self);
    ask.waited = account_.age();
    ask.avoid = failedEndpoints_;
    return ask;
}

void RequestFlow::askForSlot()
{
    state_ = State::Asking;
    ++step_;
    account_.record(DecisionKind::Queued, ResultCode::Ok, request_.pool.name.value());
    services_.slots.ask(makeAsk(), std::make_shared<StepListener>(shared_from_this(), step_));
}

void RequestFlow::call(const configuration::EndpointConfig &endpoint)
{
    state_ = State::Calling;
    paused_ = false;
    endpoints::EndpointRequest request = internal::endpointCall(request_, endpoint);
    resumes_ = relay_.hasBegun();
    if (resumes_)
        request.headers.emplace_back("resume-offset", std::to_string(relay_.events()));
    account_.record(DecisionKind::Called, ResultCode::Ok, endpoint.id.value());
    call_ = services_.client.start(std::move(request),
                                   std::make_shared<StepListener>(shared_from_this(), step_));
}

// While a stream is resumed only an answer that says that it goes on behind the same event counts
// as one. An engine that doesn't know how to resume starts anew and says nothing; taken for the
// rest, its answer would give the caller a splice of two runs.
bool RequestFlow::isEventStream() const
{
    if (!internal::isEventStream(answerHeaders_))
        return false;
    if (!resumes_ || eventsAtCall_ == 0)
        return true;
    return attempt_.status == 200
        && internal::valueOf(answerHeaders_, "resume-offset") == std::to_string(eventsAtCall_);
}

void RequestFlow::beginRelay()
{
    relay_.begin(attempt_.status, internal::passedBack(answerHeaders_, request_.id),
                 internal::isEventStream(answerHeaders_));
    if (!wholeBody_.empty())
        relay_.take(std::exchange(wholeBody_, {}));
}

void RequestFlow::bytesLeft(std::size_t bytes)
{
    const std::lock_guard lock(mutex_);
    if (!relay_.makeRoom(bytes) || !paused_)
        return;
    paused_ = false;
    if (state_ == State::Calling)
        services_.client.resume(call_);
}

void RequestFlow::releaseSlot(ReleaseOutcome outcome)
{
    scheduling::SlotRelease release;
    release.grant = grant_.id;
    const bool isWhole
        = !relay_.hasBegun() && request_.pool.kind == configuration::PoolKind::Engine;
    release.tokens = units::TokenCount(isWhole ? internal::tokensOfWholeAnswer(wholeBody_)
                                               : relay_.events() - eventsAtCall_);
    release.held = services_.clock.now() - callStarted_;
    release.outcome = outcome;
    services_.slots.release(grant_, release);
}

// Retries stay inside the time that the class gives an answer and inside the router's budget.
bool RequestFlow::mayTryAgain(ResultCode code)
{
    std::string denied;
    if (callerGone_)
        denied = "caller-left";
    else if (account_.age() >= request_.classConfig.policy.wholeAnswerTarget)
        denied = "deadline";
    else if (!services_.retries.trySpend())
        denied = "budget";
    if (denied.empty())
        return true;
    services_.metrics.add("monsoongrade_retries_denied_total",
                          observability::label("reason", denied));
    const bool isBudget = denied == "budget";
    giveUp(isBudget ? ResultCode::RetryBudgetSpent : code,
           "the endpoint failed (" + std::string(resultCodeName(code)) + ") and another try was "
               + (isBudget ? "beyond the router's retry budget" : "too late"),
           retryAfterFault_);
    return false;
}

void RequestFlow::tryElsewhere(ResultCode code)
{
    if (!mayTryAgain(code))
        return;
    services_.metrics.add("monsoongrade_retries_total",
                          observability::label("reason", std::string(resultCodeName(code))));
    account_.record(DecisionKind::Retried, code,
                    grant_.endpoint.value() + (relay_.hasBegun() ? ", to be resumed" : ""));
    failedEndpoints_.push_back(grant_.endpoint);
    const int made = attempt_.attemptsMade + 1;
    attempt_ = AttemptResult();
    attempt_.attemptsMade = made;
    wholeBody_.clear();
    relay_.discardPartialEvent();
    answerHeaders_.clear();
    backOff();
}

void RequestFlow::backOff()
{
    const auto spread = MaxJitter * units::jitterOf(request_.id);
    askLater(std::chrono::duration_cast<units::Duration>(spread * (attempt_.attemptsMade - 1)));
}

void RequestFlow::askLater(units::Duration delay)
{
    state_ = State::BackingOff;
    ++step_;
    services_.delayer.after(delay, [self = shared_from_this(), step = step_] {
        const std::lock_guard lock(self->mutex_);
        if (self->step_ == step && self->state_ == State::BackingOff)
            self->askForSlot();
    });
}

void RequestFlow::complete()
{
    if (relay_.hasBegun())
        relay_.end();
    else
        responder_->answer(attempt_.status, internal::passedBack(answerHeaders_, request_.id),
                           std::move(wholeBody_));
    end({}, std::to_string(relay_.events()) + " events");
}

// Ends the request without a whole answer. Whether it may have run follows from all calls made
// for it, not only from the last one.
void RequestFlow::giveUp(ResultCode code, const std::string &message, units::Duration retryAfter)
{
    RunState runState = mayHaveRun_ ? RunState::Unknown : RunState::NotRun;
    if (relay_.hasBegun())
        runState = RunState::Partial;
    Refusal refusal{request_.id, {code, message}, runState, {}};
    refusal.mayRepeat
        = request_.run == configuration::RunRule::Idempotent || !request_.idempotencyKey.isEmpty();
    if (runState == RunState::NotRun || refusal.mayRepeat)
        refusal.retryAfter = retryAfter;
    if (relay_.hasBegun())
        relay_.breakOff(refusal);
    else
        sendRefusal(*responder_, refusal);
    end({code, runState}, message);
}

void RequestFlow::end(const FlowEnd &flowEnd, const std::string &detail)
{
    state_ = State::Ended;
    ++step_;
    if (flowEnd.code == ResultCode::Ok)
        account_.complete(detail);
    else if (flowEnd.runState == RunState::NotRun)
        account_.refuse(flowEnd.code, detail);
    else
        account_.fail(flowEnd.code, detail);
    onEnd_(flowEnd);
}

} // namespace monsoongrade::requests
