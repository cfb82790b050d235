#include "caller.h"

#include "soakparties.h"

#include <monsoongrade/httpio/messagewriter.h>

#include <algorithm>
#include <cstdlib>

namespace monsoongrade::soak {

namespace {

// A gateway ends each request at its deadline; a frozen one does not.
constexpr auto GiveUpAfterDeadline = std::chrono::milliseconds(1000);

std::chrono::milliseconds deadlineOf(const CallRecord &record)
{
    const auto left = record.firstSentAt + StreamTime - record.sentAt;
    return std::min(RequestDeadline, std::chrono::duration_cast<std::chrono::milliseconds>(left));
}

std::string headOf(const CallRecord &record)
{
    httpio::Headers headers{{"Host", "soak.example"},
                            {"Attempt-Id", record.id},
                            {"Deadline-Ms", std::to_string(deadlineOf(record).count())},
                            {"Authorization", "Bearer " + record.key}};
    const bool isStream
        = record.kind == RequestKind::Stream || record.kind == RequestKind::ResumableStream;
    if (isStream) {
        headers.emplace_back("Token-Counts", "100,20");
        headers.emplace_back("Prompt-Prefix",
                             "part" + record.id.substr(record.id.size() - 1) + ":80,own" + record.id
                                 + ":20");
    }
    if (!record.began.empty()) {
        headers.emplace_back("Resumes", record.began);
        headers.emplace_back("Last-Event-Id", std::to_string(record.lastEvent));
    }
    const char *const paths[] = {"/safe/a", "/unsafe/a", "/stream/a", "/resume/a"};
    return httpio::encodeRequestHead(record.kind == RequestKind::Safe ? "GET" : "POST",
                                     paths[std::size_t(record.kind)], headers, 0);
}

} // namespace

class Caller::Call : public std::enable_shared_from_this<Call>, private httpio::ChannelListener
{
public:
    Call(Caller &caller, std::shared_ptr<CallRecord> record)
        : caller_(caller)
        , record_(std::move(record))
    {
    }

    void start(std::shared_ptr<httpio::Channel> channel, bool isConnected)
    {
        channel_ = std::move(channel);
        record_->isOnKeptConnection = isConnected;
        const auto giveUpAfter = deadlineOf(*record_) + GiveUpAfterDeadline;
        timeout_ = caller_.timers_.after(giveUpAfter, [self = shared_from_this()] {
            self->record_->wasGivenUp = true;
            self->channel_->close();
            self->end(0);
        });
        if (isConnected) {
            send();
            return;
        }
        channel_->connect([self = shared_from_this()](bool connected) {
            if (connected)
                self->send();
            else
                self->end(0);
        });
    }

private:
    void send()
    {
        record_->wasSent = true;
        channel_->send(headOf(*record_), std::make_shared<const std::string>(), *this);
    }
    void onResponseHead(const httpio::MessageHead &head) override
    {
        record_->headStatus = head.status;
        const std::string *signature = httpio::findHeader(head.headers, "Response-Signature");
        if (signature != nullptr)
            record_->signature = *signature;
        const std::string *wait = httpio::findHeader(head.headers, "Retry-After");
        if (wait != nullptr)
            record_->retryAfter
                = std::chrono::milliseconds(std::int64_t(std::atof(wait->c_str()) * 1000));
    }
    void onResponseBody(std::string_view bytes) override { record_->body.append(bytes); }
    void onResponseEnd() override
    {
        const auto self = shared_from_this();
        caller_.keep(channel_);
        end(record_->headStatus);
    }
    void onChannelFailure(httpio::ChannelFailure) override { end(0); }
    void end(int status)
    {
        if (record_->isEnded)
            return;
        const auto self = shared_from_this();
        record_->isEnded = true;
        record_->status = status;
        record_->endedAt = caller_.timers_.now();
        caller_.timers_.cancel(timeout_);
        --caller_.open_;
        if (caller_.ended_)
            caller_.ended_(*record_);
    }

    Caller &caller_;
    std::shared_ptr<CallRecord> record_;
    std::shared_ptr<httpio::Channel> channel_;
    httpio::Timers::Handle timeout_;
};

Caller::Caller(asio::io_context &io, httpio::Timers &timers)
    : io_(io)
    , timers_(timers)
{
}

void Caller::send(const asio::ip::tcp::endpoint &address, CallRecord record)
{
    record.sentAt = timers_.now();
    if (record.id.empty())
        record.id = "id" + std::to_string(records_.size());
    if (record.began.empty())
        record.firstSentAt = record.sentAt;
    records_.push_back(std::make_shared<CallRecord>(std::move(record)));
    ++open_;
    auto channel = takeIdle(address);
    const bool isConnected = channel != nullptr;
    if (!isConnected)
        channel = std::make_shared<httpio::Channel>(io_, address);
    std::make_shared<Call>(*this, records_.back())->start(std::move(channel), isConnected);
}

std::shared_ptr<httpio::Channel> Caller::takeIdle(const asio::ip::tcp::endpoint &address)
{
    auto &idle = idle_[address];
    while (!idle.empty()) {
        std::shared_ptr<httpio::Channel> channel = idle.back();
        idle.pop_back();
        if (channel->isStillIdle())
            return channel;
        channel->close();
    }
    return nullptr;
}

void Caller::keep(const std::shared_ptr<httpio::Channel> &channel)
{
    auto &idle = idle_[channel->address()];
    const auto forget = [&idle, raw = channel.get()] {
        idle.erase(std::remove_if(idle.begin(), idle.end(),
                                  [raw](const auto &each) { return each.get() == raw; }),
                   idle.end());
    };
    if (channel->release(forget))
        idle.push_back(channel);
}

} // namespace monsoongrade::soak
