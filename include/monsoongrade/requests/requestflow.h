#ifndef MONSOONGRADE_REQUESTS_REQUESTFLOW_H
#define MONSOONGRADE_REQUESTS_REQUESTFLOW_H

#include <monsoongrade/http/httpresponder.h>
#include <monsoongrade/requests/answerrelay.h>
#include <monsoongrade/requests/classifiedrequest.h>
#include <monsoongrade/requests/flowend.h>
#include <monsoongrade/requests/flowservices.h>
#include <monsoongrade/requests/refusal.h>
#include <monsoongrade/requests/requestaccount.h>
#include <monsoongrade/requests/retrypolicy.h>

#include <functional>
#include <memory>
#include <mutex>
#include <vector>

namespace monsoongrade::requests {

// One request from its classification to its last byte: asks for a slot, calls the endpoint,
// relays the answer with back-pressure, gives the slot back. Ends exactly once, as completed,
// refused or failed. Thread-safe under a lock of its own; none of the services it calls under
// that lock calls back from within the call.
class RequestFlow : public std::enable_shared_from_this<RequestFlow>
{
public:
    // The account is accepted already. onEnd runs once, after the last byte was handed to the
    // responder; it must not call the flow.
    RequestFlow(const FlowServices &services, ClassifiedRequest request, RequestAccount account,
                std::shared_ptr<http::HttpResponder> responder,
                std::function<void(const FlowEnd &)> onEnd);
    // A flow that nothing refers to any more before its end is a fault of ours; its caller is
    // told so instead of waiting for ever.
    ~RequestFlow();

    void start();
    void callerGone();

    // Events of a step that is no longer the current one change nothing.
    void slotGranted(std::uint64_t step, const scheduling::SlotGrant &grant);
    void slotRefused(std::uint64_t step, const scheduling::SlotRefusal &refusal);
    void answerHead(std::uint64_t step, int status, const endpoints::Headers &headers);
    endpoints::FlowControl answerBody(std::uint64_t step, std::string_view bytes);
    void answerEnd(std::uint64_t step, const endpoints::EndpointEnd &end);

private:
    enum class State { New, Asking, Calling, BackingOff, Ended };

    scheduling::SlotAsk makeAsk() const;
    void askForSlot();
    void call(const configuration::EndpointConfig &endpoint);
    void returnGrant();
    bool isEventStream() const;
    void judgeEnd(const endpoints::EndpointEnd &end);
    void beginRelay();
    void bytesLeft(std::size_t bytes);
    void releaseSlot(scheduling::ReleaseOutcome outcome);
    void followUp(NextStep step, units::ResultCode code);
    bool mayTryAgain(units::ResultCode code);
    void tryElsewhere(units::ResultCode code);
    void backOff();
    void askLater(units::Duration delay);
    void complete();
    void giveUp(units::ResultCode code, const std::string &message, units::Duration retryAfter);
    void end(const FlowEnd &flowEnd, const std::string &detail);

    const FlowServices services_;
    const ClassifiedRequest request_;
    const std::shared_ptr<http::HttpResponder> responder_;
    const std::function<void(const FlowEnd &)> onEnd_;

    std::mutex mutex_;
    RequestAccount account_;
    AnswerRelay relay_;
    const units::Duration retryAfterFault_;
    State state_ = State::New;
    std::uint64_t step_ = 0;
    scheduling::SlotGrant grant_;
    endpoints::CallId call_ = 0;
    units::TimePoint callStarted_;
    std::vector<units::EndpointId> failedEndpoints_;
    int grantsReturned_ = 0;
    AttemptResult attempt_;
    endpoints::Headers answerHeaders_;
    std::string wholeBody_;
    std::int64_t eventsAtCall_ = 0;
    // Some call may have been run, so that "not run" would be untrue.
    bool mayHaveRun_ = false;
    // The current call goes on with a stream that has begun.
    bool resumes_ = false;
    bool paused_ = false;
    bool callerGone_ = false;
};

} // namespace monsoongrade::requests

#endif // MONSOONGRADE_REQUESTS_REQUESTFLOW_H
