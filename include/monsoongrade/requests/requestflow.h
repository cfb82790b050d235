#ifndef MONSOONGRADE_REQUESTS_REQUESTFLOW_H
#define MONSOONGRADE_REQUESTS_REQUESTFLOW_H

#include <monsoongrade/http/httpresponder.h>
#include <monsoongrade/requests/classifiedrequest.h>
#include <monsoongrade/requests/flowservices.h>
#include <monsoongrade/requests/refusal.h>
#include <monsoongrade/requests/retrypolicy.h>
#include <monsoongrade/requests/streamscanner.h>

#include <functional>
#include <memory>
#include <mutex>
#include <vector>

namespace monsoongrade::requests {

// One request from its classification to its last byte: asks for a slot, calls the endpoint,
// relays the answer with back-pressure, gives the slot back. Ends exactly once, as completed,
// refused or failed. Thread-safe under a lock of its own; none of the services it calls under
// that lock calls back from within the call.
class RequestFlow : public scheduling::SlotListener,
                    public endpoints::EndpointListener,
                    public std::enable_shared_from_this<RequestFlow>
{
public:
    // onEnd runs once, when the flow needs nothing any more; it must not call the flow.
    RequestFlow(const FlowServices &services, ClassifiedRequest request,
                std::shared_ptr<http::HttpResponder> responder, std::function<void()> onEnd);

    void start();
    void callerGone();

    void slotGranted(const scheduling::SlotGrant &grant) override;
    void slotRefused(const scheduling::SlotRefusal &refusal) override;

    void answerHead(int status, const endpoints::Headers &headers) override;
    endpoints::FlowControl answerBody(std::string_view bytes) override;
    void answerEnd(const endpoints::EndpointEnd &end) override;

private:
    enum class State { New, Asking, Calling, Ended };

    scheduling::SlotAsk makeAsk() const;
    void askForSlot();
    void call(const configuration::EndpointConfig &endpoint);
    void beginRelay(int status, const endpoints::Headers &headers);
    void relay(std::string_view bytes);
    void bytesLeft(std::size_t bytes);
    void releaseSlot(scheduling::ReleaseOutcome outcome);
    void tryElsewhere(units::ResultCode code);
    void complete();
    void refuse(units::ResultCode code, const std::string &message, units::Duration retryAfter);
    void fail(units::ResultCode code, const std::string &message, RunState runState);
    void end(const std::string &outcomeMetric, units::ResultCode code);
    void record(DecisionKind kind, units::ResultCode code, const std::string &detail);
    std::string classLabel() const;

    const FlowServices &services_;
    const ClassifiedRequest request_;
    const std::shared_ptr<http::HttpResponder> responder_;
    const std::function<void()> onEnd_;
    const units::TimePoint arrived_;

    std::mutex mutex_;
    State state_ = State::New;
    scheduling::SlotGrant grant_;
    endpoints::CallId call_ = 0;
    units::TimePoint callStarted_;
    std::vector<units::EndpointId> failedEndpoints_;
    AttemptResult attempt_;
    endpoints::Headers answerHeaders_;
    std::string wholeBody_;
    StreamScanner scanner_;
    bool relaying_ = false;
    bool paused_ = false;
    bool callerGone_ = false;
    bool firstTokenSeen_ = false;
    std::size_t bytesWaiting_ = 0;
};

} // namespace monsoongrade::requests

#endif // MONSOONGRADE_REQUESTS_REQUESTFLOW_H
