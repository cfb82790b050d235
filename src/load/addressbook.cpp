#include <monsoongrade/load/addressbook.h>

#include <nlohmann/json.hpp>

namespace monsoongrade::load {

namespace {

using nlohmann::json;
using Clock = std::chrono::steady_clock;

constexpr auto AskTimeout = std::chrono::seconds(1);
constexpr auto KeepAfterNoAnswer = std::chrono::seconds(1);

class AskListener : public endpoints::EndpointListener
{
public:
    explicit AskListener(std::function<void(int, const std::string &)> onEnd)
        : onEnd_(std::move(onEnd))
    {
    }
    void answerHead(int status, const endpoints::Headers &) override { status_ = status; }
    endpoints::FlowControl answerBody(std::string_view bytes) override
    {
        body_.append(bytes);
        return endpoints::FlowControl::Continue;
    }
    void answerEnd(const endpoints::EndpointEnd &end) override
    {
        onEnd_(end.code == units::ResultCode::Ok ? status_ : 0, body_);
    }

private:
    std::function<void(int, const std::string &)> onEnd_;
    int status_ = 0;
    std::string body_;
};

} // namespace

AddressBook::AddressBook(endpoints::EndpointClient &client, std::vector<std::string> entry,
                         bool asks)
    : client_(client)
    , entry_(std::move(entry))
    , asks_(asks)
{
}

void AddressBook::pick(std::size_t place, const Receiver &receiver)
{
    std::string address;
    {
        const std::lock_guard lock(mutex_);
        if (!asks_) {
            address = entry_[place % entry_.size()];
        } else if (Clock::now() < keepUntil_) {
            address = addresses_[place % addresses_.size()];
        } else {
            waiting_.push_back({place, receiver});
            if (waiting_.size() > 1)
                return;
            // The entry addresses in an order of the caller's own, so that not all ask one host.
            candidates_ = addresses_;
            for (std::size_t i = 0; i < entry_.size(); ++i)
                candidates_.push_back(entry_[(place + i) % entry_.size()]);
        }
    }
    if (address.empty())
        ask(0);
    else
        receiver(address);
}

void AddressBook::ask(std::size_t candidate)
{
    endpoints::EndpointRequest request;
    {
        const std::lock_guard lock(mutex_);
        request.url = candidates_[candidate] + "/v1/entry-points";
    }
    request.method = "GET";
    request.connectTimeout = AskTimeout;
    request.silenceTimeout = AskTimeout;
    // The time to keep the answer counts from the asking: the system counts from its answer.
    const auto asked = Clock::now();
    client_.start(request,
                  std::make_shared<AskListener>([self = shared_from_this(), candidate,
                                                 asked](int status, const std::string &body) {
                      self->answered(candidate, status, body, asked);
                  }));
}

void AddressBook::answered(std::size_t candidate, int status, const std::string &body,
                           units::TimePoint asked)
{
    const json answer = json::parse(body, nullptr, false);
    std::vector<std::string> found;
    if (status == 200 && answer.is_object() && answer.contains("entry_points")) {
        for (const json &point : answer["entry_points"])
            found.push_back(point.value("url", ""));
    }
    if (!found.empty()) {
        const auto keep = std::chrono::duration<double>(answer.value("keep_seconds", 1.0));
        settle(std::move(found), asked + std::chrono::duration_cast<units::Duration>(keep));
        return;
    }
    bool more = false;
    {
        const std::lock_guard lock(mutex_);
        more = candidate + 1 < candidates_.size();
    }
    if (more)
        ask(candidate + 1);
    else
        settle(entry_, Clock::now() + KeepAfterNoAnswer);
}

void AddressBook::settle(std::vector<std::string> addresses, units::TimePoint keepUntil)
{
    std::vector<Waiting> waiting;
    {
        const std::lock_guard lock(mutex_);
        addresses_ = addresses;
        keepUntil_ = keepUntil;
        waiting.swap(waiting_);
    }
    for (const Waiting &entry : waiting)
        entry.receiver(addresses[entry.place % addresses.size()]);
}

} // namespace monsoongrade::load
