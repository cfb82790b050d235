#ifndef MONSOONGRADE_SRC_REQUESTS_INTERNAL_STEPLISTENER_H
#define MONSOONGRADE_SRC_REQUESTS_INTERNAL_STEPLISTENER_H

#include <monsoongrade/requests/requestflow.h>

namespace monsoongrade::requests::internal {

// Passes the events of one ask and its call on to the flow, marked with their step. Events of an
// endpoint that was given up may still be on their way when the next one is called; without the
// mark the caller would get a mixture of two answers.
class StepListener : public scheduling::SlotListener, public endpoints::EndpointListener
{
public:
    StepListener(std::shared_ptr<RequestFlow> flow, std::uint64_t step)
        : flow_(std::move(flow))
        , step_(step)
    {
    }

    void slotGranted(const scheduling::SlotGrant &grant) override
    {
        flow_->slotGranted(step_, grant);
    }
    void slotRefused(const scheduling::SlotRefusal &refusal) override
    {
        flow_->slotRefused(step_, refusal);
    }
    void answerHead(int status, const endpoints::Headers &headers) override
    {
        flow_->answerHead(step_, status, headers);
    }
    endpoints::FlowControl answerBody(std::string_view bytes) override
    {
        return flow_->answerBody(step_, bytes);
    }
    void answerEnd(const endpoints::EndpointEnd &end) override { flow_->answerEnd(step_, end); }

private:
    const std::shared_ptr<RequestFlow> flow_;
    const std::uint64_t step_;
};

} // namespace monsoongrade::requests::internal

#endif // MONSOONGRADE_SRC_REQUESTS_INTERNAL_STEPLISTENER_H
