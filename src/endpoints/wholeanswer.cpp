#include <monsoongrade/endpoints/wholeanswer.h>

#include <future>

namespace monsoongrade::endpoints {

namespace {

class Collector : public EndpointListener
{
public:
    explicit Collector(std::size_t mostBytes)
        : mostBytes_(mostBytes)
    {
    }
    void answerHead(int status, const Headers &headers) override
    {
        answer_.status = status;
        answer_.headers = headers;
    }
    FlowControl answerBody(std::string_view bytes) override
    {
        if (ended_)
            return FlowControl::Pause;
        if (answer_.body.size() + bytes.size() > mostBytes_) {
            EndpointEnd tooLong;
            tooLong.code = units::ResultCode::BodyTooLarge;
            tooLong.message = "the answer is longer than " + std::to_string(mostBytes_) + " bytes";
            answerEnd(tooLong);
            return FlowControl::Pause;
        }
        answer_.body.append(bytes);
        return FlowControl::Continue;
    }
    void answerEnd(const EndpointEnd &end) override
    {
        if (ended_)
            return;
        ended_ = true;
        answer_.end = end;
        done_.set_value(std::move(answer_));
    }
    std::future<WholeAnswer> future() { return done_.get_future(); }

private:
    std::size_t mostBytes_;
    bool ended_ = false;
    WholeAnswer answer_;
    std::promise<WholeAnswer> done_;
};

} // namespace

WholeAnswer callAndWait(EndpointClient &client, EndpointRequest request, std::size_t mostBytes)
{
    const auto collector = std::make_shared<Collector>(mostBytes);
    std::future<WholeAnswer> pending = collector->future();
    const CallId call = client.start(std::move(request), collector);
    WholeAnswer answer = pending.get();
    if (answer.end.code == units::ResultCode::BodyTooLarge)
        client.cancel(call);
    return answer;
}

} // namespace monsoongrade::endpoints
