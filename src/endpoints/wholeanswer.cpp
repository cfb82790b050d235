#include <monsoongrade/endpoints/wholeanswer.h>

#include <future>
#include <utility>

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

std::vector<WholeAnswer>
callAllAndWait(EndpointClient &client, std::vector<EndpointRequest> requests, units::Duration limit)
{
    const auto until = std::chrono::steady_clock::now() + limit;
    std::vector<std::pair<CallId, std::future<WholeAnswer>>> pending;
    pending.reserve(requests.size());
    for (EndpointRequest &request : requests) {
        const auto collector = std::make_shared<Collector>(std::numeric_limits<std::size_t>::max());
        auto future = collector->future();
        pending.emplace_back(client.start(std::move(request), collector), std::move(future));
    }
    std::vector<WholeAnswer> answers;
    answers.reserve(pending.size());
    for (auto &[call, future] : pending) {
        if (future.wait_until(until) == std::future_status::ready) {
            answers.push_back(future.get());
            continue;
        }
        client.cancel(call);
        WholeAnswer late;
        late.end.code = units::ResultCode::EndpointSilent;
        late.end.message = "no whole answer in time";
        answers.push_back(std::move(late));
    }
    return answers;
}

} // namespace monsoongrade::endpoints
