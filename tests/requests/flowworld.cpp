#include <requests/flowworld.h>

namespace monsoongrade::requests {

using configuration::RunRule;
using endpoints::FlowControl;
using units::ResultCode;

void FlowWorld::apply(const FlowCommand &command)
{
    const auto which = static_cast<std::size_t>(command.which);
    auto &asks = fixture_.slots.asks;
    switch (command.kind) {
    case FlowCommand::StartIdempotent:
        return start(RunRule::Idempotent, false);
    case FlowCommand::StartAtMostOnce:
        return start(RunRule::AtMostOnce, false);
    case FlowCommand::StartResumable:
        return start(RunRule::Idempotent, true);
    case FlowCommand::Grant:
        if (!asks.empty())
            fixture_.slots.grant(which % asks.size(), "e" + std::to_string(1 + which % 3));
        return;
    case FlowCommand::RefuseAsk:
        if (!asks.empty())
            fixture_.slots.refuse(which % asks.size());
        return;
    case FlowCommand::Leave:
        if (!callers_.empty()) {
            callers_[which % callers_.size()].left = true;
            callers_[which % callers_.size()].responder->leave();
        }
        return;
    case FlowCommand::Read:
        if (!callers_.empty())
            callers_[which % callers_.size()].responder->readAll();
        return;
    case FlowCommand::Wait:
        fixture_.clock.advance(std::chrono::seconds(command.which % 40));
        return fixture_.delayer.runAll();
    default:
        if (!fixture_.client.calls.empty())
            actOnCall(command);
    }
}

void FlowWorld::start(RunRule run, bool canResume)
{
    if (callers_.size() >= 5)
        return;
    ClassifiedRequest request = fixture_.request(run, canResume);
    request.classConfig.cancelOnDisconnect = callers_.size() % 2 == 0;
    const std::string id = request.id.value();
    callers_.push_back({fixture_.start(request), id, run, false});
}

void FlowWorld::actOnCall(const FlowCommand &command)
{
    const std::size_t index
        = static_cast<std::size_t>(command.which) % fixture_.client.calls.size();
    const auto call = fixture_.client.calls[index];
    Work &work = work_[index];
    const std::string id = call.header("monsoongrade-request-id");
    switch (command.kind) {
    case FlowCommand::Unreachable:
        if (work.run == 0 && !work.ended) {
            work.ended = true;
            call.listener->answerEnd({ResultCode::EndpointUnreachable, false, "refused"});
        }
        return;
    case FlowCommand::RefuseBusy:
        if (work.run == 0 && !work.ended) {
            work.ended = true;
            call.listener->answerHead(503, {{"content-length", "0"}});
            call.listener->answerEnd({});
        }
        return;
    case FlowCommand::Run:
        return beginRun(index);
    case FlowCommand::SendHead:
        return send(index, "");
    case FlowCommand::SendEvent:
        beginRun(index);
        return send(index, eventOf(id, work.run, work.next++));
    case FlowCommand::SendLate:
        if (work.ended) {
            call.listener->answerHead(200, {{"content-type", "text/event-stream"}});
            call.listener->answerBody(eventOf(id, work.run, work.next));
            call.listener->answerEnd({});
        }
        return;
    case FlowCommand::SendHalfEvent:
        beginRun(index);
        send(index, eventOf(id, work.run, work.next).substr(0, 9));
        return finish(index, false);
    case FlowCommand::Finish:
        return finish(index, true);
    case FlowCommand::Break:
        return finish(index, false);
    default:
        return;
    }
}

void FlowWorld::beginRun(std::size_t call)
{
    Work &work = work_[call];
    if (work.run != 0 || work.ended)
        return;
    const auto &made = fixture_.client.calls[call];
    const std::string id = made.header("monsoongrade-request-id");
    const std::string offset = made.header("resume-offset");
    if (offset.empty()) {
        work.run = ++runCount_;
        ++runs_[id];
        return;
    }
    // The engine goes on with the run that the request's latest call belonged to.
    for (const auto &[other, earlier] : work_) {
        if (other < call && earlier.run != 0
            && fixture_.client.calls[other].header("monsoongrade-request-id") == id)
            work.run = earlier.run;
    }
    work.next = std::atoi(offset.c_str());
}

// An engine that goes on behind an offset says so.
endpoints::Headers FlowWorld::headOf(std::size_t call) const
{
    endpoints::Headers headers{{"content-type", "text/event-stream"}};
    const std::string offset = fixture_.client.calls[call].header("resume-offset");
    if (!offset.empty())
        headers.emplace_back("resume-offset", offset);
    return headers;
}

void FlowWorld::send(std::size_t call, const std::string &bytes)
{
    beginRun(call);
    Work &work = work_[call];
    if (work.ended)
        return;
    const auto listener = fixture_.client.calls[call].listener;
    if (!std::exchange(work.head, true))
        listener->answerHead(200, headOf(call));
    if (!bytes.empty() && listener->answerBody(bytes) == FlowControl::Pause)
        fixture_.client.calls[call].paused = true;
}

void FlowWorld::finish(std::size_t call, bool whole)
{
    if (work_[call].ended)
        return;
    if (whole)
        send(call, "data: [DONE]\n\n");
    else
        beginRun(call);
    Work &work = work_[call];
    work.ended = true;
    const auto listener = fixture_.client.calls[call].listener;
    const auto broken
        = work.head ? ResultCode::EndpointBrokeInAnswer : ResultCode::EndpointBrokeBeforeAnswer;
    listener->answerEnd({whole ? ResultCode::Ok : broken, true, ""});
}

std::string FlowWorld::eventOf(const std::string &id, int run, int number) const
{
    return "data: " + id + "/" + std::to_string(run) + "/" + std::to_string(number) + "\n\n";
}

void FlowWorld::settle()
{
    for (int round = 0; round < 20; ++round) {
        fixture_.delayer.runAll();
        while (!fixture_.slots.asks.empty())
            fixture_.slots.grant(0, "e1");
        for (std::size_t call = 0; call < fixture_.client.calls.size(); ++call)
            finish(call, round % 2 == 0);
        for (const Caller &caller : callers_)
            caller.responder->readAll();
    }
    settled_ = true;
}

std::string FlowWorld::violation()
{
    for (const Caller &caller : callers_) {
        std::string broken = violationOf(caller);
        if (!broken.empty())
            return caller.id + ": " + broken + "; body: " + caller.responder->body;
    }
    for (const auto &[grant, times] : fixture_.slots.released) {
        if (times != 1)
            return "grant " + std::to_string(grant) + " given back " + std::to_string(times)
                + " times";
    }
    const std::int64_t ended = fixture_.sum("monsoongrade_requests_completed_total")
        + fixture_.sum("monsoongrade_requests_refused_total")
        + fixture_.sum("monsoongrade_requests_failed_total");
    const auto open = static_cast<std::int64_t>(fixture_.open.total());
    if (fixture_.sum("monsoongrade_requests_accepted_total") != ended + open)
        return "accounts don't close: ended " + std::to_string(ended) + ", open "
            + std::to_string(open);
    if (fixture_.flowsEnded != ended)
        return "flows ended " + std::to_string(fixture_.flowsEnded) + ", counted "
            + std::to_string(ended);
    if (settled_ && open != 0)
        return std::to_string(open) + " never ended";
    if (settled_ && fixture_.slots.released.size() != fixture_.slots.granted)
        return "granted " + std::to_string(fixture_.slots.granted) + ", given back "
            + std::to_string(fixture_.slots.released.size());
    return {};
}

std::string FlowWorld::violationOf(const Caller &caller)
{
    const RecordingResponder &got = *caller.responder;
    if (got.ends > 1)
        return "ended " + std::to_string(got.ends) + " times";
    if (caller.run == RunRule::AtMostOnce && runs_[caller.id] > 1)
        return "at most once, but ran " + std::to_string(runs_[caller.id]) + " times";
    if (got.header("monsoongrade-run-state") == "not-run" && runs_[caller.id] != 0)
        return "said to be not run, but ran";
    if (!got.begun)
        return {};
    // The body must be the events 0, 1, 2... of one run, then the closing marker or an error.
    int run = 0;
    std::size_t at = 0;
    for (int number = 0;; ++number) {
        for (int candidate = 1; number == 0 && candidate <= runCount_; ++candidate) {
            if (got.body.compare(0, eventOf(caller.id, candidate, 0).size(),
                                 eventOf(caller.id, candidate, 0))
                == 0)
                run = candidate;
        }
        const std::string expected = eventOf(caller.id, run, number);
        if (got.body.compare(at, expected.size(), expected) != 0)
            break;
        at += expected.size();
    }
    const std::string rest = got.body.substr(at);
    const bool whole = rest == "data: [DONE]\n\n";
    const bool error = rest.rfind("event: error\n", 0) == 0;
    if (!rest.empty() && !whole && !error)
        return "bytes that are not the next of its own run: " + rest;
    if (got.ends == 1 && !got.aborted && !whole && !error && !caller.left)
        return "ended without a closing marker or an error";
    return {};
}

} // namespace monsoongrade::requests
