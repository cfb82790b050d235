#include <monsoongrade/endpoints/wholeanswer.h>

#include <future>

namespace monsoongrade::endpoints {

namespace {

class Collector : public EndpointListener
{
public:
    void answerHead(int status, const Headers &headers) override
    {
        answer_.status = status;
        answer_.headers = headers;
    }
    FlowControl answerBody(std::string_view bytes) override
    {
        answer_.body.append(bytes);
        return FlowControl::Continue;
    }
    void answerEnd(const EndpointEnd &end) override
    {
        answer_.end = end;
        done_.set_value(std::move(answer_));
    }
    std::future<WholeAnswer> future() { return done_.get_future(); }

private:
    WholeAnswer answer_;
    std::promise<WholeAnswer> done_;
};

} // namespace

WholeAnswer callAndWait(EndpointClient &client, EndpointRequest request)
{
    const auto collector = std::make_shared<Collector>();
    std::future<WholeAnswer> answer = collector->future();
    client.start(std::move(request), collector);
    return answer.get();
}

} // namespace monsoongrade::endpoints
