#include <monsoongrade/standins/fakeengine.h>

#include <monsoongrade/standins/answertext.h>
#include <monsoongrade/standins/timerthread.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <list>
#include <map>
#include <mutex>
#include <set>

namespace monsoongrade::standins {

namespace {

using nlohmann::json;
using Responder = std::shared_ptr<http::HttpResponder>;

const http::Headers JsonHeaders{{"Content-Type", "application/json"}};
const http::Headers StreamHeaders{{"Content-Type", "text/event-stream"}};
constexpr std::int64_t DefaultTokens = 16;
constexpr std::int64_t MostTokens = 100000;
constexpr std::size_t PrefixBytes = 256;
constexpr auto FrozenCheck = std::chrono::milliseconds(50);

struct RunCount
{
    std::int64_t begun = 0;
    std::int64_t ended = 0;
    std::int64_t cancelled = 0;
};

struct Stream
{
    std::string requestId;
    std::string idempotencyKey;
    std::string prompt;
    Responder responder;
    std::int64_t length = DefaultTokens;
    std::int64_t sent = 0;
    int priority = 0;
    bool streamed = false;
    bool chat = true;
    bool gone = false;
    std::string whole;
};

using StreamPointer = std::shared_ptr<Stream>;

std::string promptOf(const json &body)
{
    std::string prompt;
    if (body.contains("messages") && body["messages"].is_array()) {
        for (const json &message : body["messages"])
            prompt += message.value("content", "");
    } else {
        prompt = body.value("prompt", "");
    }
    return prompt;
}

std::string eventFor(const Stream &stream, const std::string &token)
{
    json choice{{"index", 0}};
    if (stream.chat)
        choice["delta"] = {{"content", token}};
    else
        choice["text"] = token;
    return "data: " + json{{"choices", json::array({choice})}}.dump() + "\n\n";
}

std::string wholeAnswer(const Stream &stream)
{
    json choice{{"index", 0}, {"finish_reason", "stop"}};
    if (stream.chat)
        choice["message"] = {{"role", "assistant"}, {"content", stream.whole}};
    else
        choice["text"] = stream.whole;
    return json{{"choices", json::array({choice})}, {"usage", {{"completion_tokens", stream.sent}}}}
        .dump();
}

} // namespace

class FakeEngine::Impl
{
public:
    explicit Impl(const FakeEngineSettings &settings)
        : settings_(settings)
    {
    }

    void handle(const http::HttpRequest &request, Responder responder)
    {
        const std::lock_guard lock(mutex_);
        if (request.path == "/runs" || request.path == "/load"
            || request.path == "/admin/switches") {
            answerAdmin(request, *responder);
            return;
        }
        if (reset_ == "before") {
            responder->abort();
            return;
        }
        if (refuse_ || draining_) {
            responder->answer(503, JsonHeaders, R"({"error":"not accepting"})");
            return;
        }
        if (request.path != "/v1/chat/completions" && request.path != "/v1/completions")
            serve(request, *responder);
        else
            complete(request, std::move(responder));
    }

private:
    void answerAdmin(const http::HttpRequest &request, http::HttpResponder &responder)
    {
        if (request.path == "/admin/switches") {
            setSwitches(request.body);
            responder.answer(200, JsonHeaders, "{}");
            return;
        }
        if (request.path == "/load") {
            responder.answer(200, JsonHeaders,
                             json{{"running", running_.size()},
                                  {"waiting", waiting_.size()},
                                  {"slots", settings_.slots},
                                  {"draining", draining_}}
                                 .dump());
            return;
        }
        responder.answer(200, JsonHeaders,
                         json{{"requests", countsOf(runsByRequest_)},
                              {"keys", countsOf(runsByKey_)},
                              {"tokens", tokensMade_},
                              {"tokens_cancelled", tokensCancelled_}}
                             .dump());
    }

    static json countsOf(const std::map<std::string, RunCount> &runs)
    {
        json out = json::object();
        for (const auto &[name, count] : runs)
            out[name]
                = {{"begun", count.begun}, {"ended", count.ended}, {"cancelled", count.cancelled}};
        return out;
    }

    void setSwitches(const std::string &text)
    {
        const json body = json::parse(text, nullptr, false);
        if (!body.is_object())
            return;
        slow_ = body.value("slow", slow_);
        frozen_ = body.value("freeze", frozen_);
        crashAfterTokens_ = body.value("crash_after_tokens", crashAfterTokens_);
        refuse_ = body.value("refuse", refuse_);
        reset_ = body.value("reset", reset_);
        draining_ = body.value("draining", draining_);
    }

    // A plain service's call: its effect is the count in /runs.
    void serve(const http::HttpRequest &request, http::HttpResponder &responder)
    {
        const std::string id = request.header("monsoongrade-request-id");
        const std::string key = request.header("idempotency-key");
        count(id, key, &RunCount::begun);
        if (reset_ == "after") {
            responder.abort();
            return;
        }
        count(id, key, &RunCount::ended);
        responder.answer(200, JsonHeaders,
                         json{{"path", request.path}, {"echo", request.body}}.dump(
                             -1, ' ', false, json::error_handler_t::replace));
    }

    void complete(const http::HttpRequest &request, Responder responder)
    {
        const json body = json::parse(request.body, nullptr, false);
        if (!body.is_object()) {
            responder->answer(400, JsonHeaders, R"({"error":"not a JSON object"})");
            return;
        }
        const auto stream = std::make_shared<Stream>();
        stream->requestId = request.header("monsoongrade-request-id");
        stream->idempotencyKey = request.header("idempotency-key");
        stream->prompt = promptOf(body);
        stream->streamed = body.value("stream", false);
        stream->chat = request.path == "/v1/chat/completions";
        stream->responder = std::move(responder);
        if (body.contains("metadata") && body["metadata"].is_object())
            stream->length = std::clamp<std::int64_t>(
                body["metadata"].value("answer_tokens", DefaultTokens), 1, MostTokens);
        stream->priority = std::atoi(request.header("priority").c_str());
        std::weak_ptr<Stream> weak = stream;
        stream->responder->onGone([this, weak] {
            if (const auto left = weak.lock())
                callerGone(left);
        });
        if (static_cast<int>(running_.size()) < settings_.slots)
            begin(stream);
        else
            waiting_.insert({{stream->priority, ++arrivals_}, stream});
    }

    void begin(const StreamPointer &stream)
    {
        running_.insert(stream);
        count(stream->requestId, stream->idempotencyKey, &RunCount::begun);
        if (reset_ == "after") {
            stream->responder->abort();
            finish(stream);
            return;
        }
        if (stream->streamed)
            stream->responder->begin(200, StreamHeaders);
        const bool cached = useCache(stream->prompt.substr(0, PrefixBytes));
        const std::size_t toRead = cached
            ? stream->prompt.size() - std::min(PrefixBytes, stream->prompt.size())
            : stream->prompt.size();
        const auto prefill = std::chrono::duration<double, std::micro>(
            settings_.prefillMicrosPerByte * static_cast<double>(toRead) * slow_);
        schedule(stream, std::chrono::duration_cast<std::chrono::nanoseconds>(prefill));
    }

    void schedule(const StreamPointer &stream, std::chrono::nanoseconds prefill)
    {
        const double batch = 1 + settings_.batchCost * static_cast<double>(running_.size() - 1);
        const auto gap = std::chrono::duration_cast<std::chrono::nanoseconds>(
            std::chrono::duration<double>(slow_ * batch / settings_.tokensPerSecond));
        timers_.after(prefill + gap, [this, stream] { makeToken(stream); });
    }

    void makeToken(const StreamPointer &stream)
    {
        const std::lock_guard lock(mutex_);
        if (stream->gone)
            return;
        if (frozen_) {
            timers_.after(FrozenCheck, [this, stream] { makeToken(stream); });
            return;
        }
        if (crashAfterTokens_ > 0 && stream->sent >= crashAfterTokens_) {
            stream->responder->abort();
            finish(stream);
            return;
        }
        const std::string token = answerToken(stream->prompt, stream->sent);
        ++stream->sent;
        ++tokensMade_;
        if (stream->streamed)
            stream->responder->write(eventFor(*stream, token), {});
        else
            stream->whole += token;
        if (stream->sent < stream->length) {
            schedule(stream, std::chrono::nanoseconds(0));
            return;
        }
        if (stream->streamed) {
            stream->responder->write("data: [DONE]\n\n", {});
            stream->responder->end();
        } else {
            stream->responder->answer(200, JsonHeaders, wholeAnswer(*stream));
        }
        count(stream->requestId, stream->idempotencyKey, &RunCount::ended);
        finish(stream);
    }

    void callerGone(const StreamPointer &stream)
    {
        const std::lock_guard lock(mutex_);
        if (stream->gone)
            return;
        for (auto entry = waiting_.begin(); entry != waiting_.end(); ++entry) {
            if (entry->second != stream)
                continue;
            waiting_.erase(entry);
            stream->gone = true;
            return;
        }
        count(stream->requestId, stream->idempotencyKey, &RunCount::cancelled);
        tokensCancelled_ += stream->sent;
        finish(stream);
    }

    void finish(const StreamPointer &stream)
    {
        stream->gone = true;
        running_.erase(stream);
        if (waiting_.empty() || static_cast<int>(running_.size()) >= settings_.slots)
            return;
        const StreamPointer next = waiting_.begin()->second;
        waiting_.erase(waiting_.begin());
        begin(next);
    }

    bool useCache(const std::string &prefix)
    {
        const auto found = std::find(cache_.begin(), cache_.end(), prefix);
        const bool cached = found != cache_.end();
        if (cached)
            cache_.erase(found);
        cache_.push_front(prefix);
        if (cache_.size() > settings_.cachedPrefixes)
            cache_.pop_back();
        return cached;
    }

    void count(const std::string &request, const std::string &key, std::int64_t RunCount::*field)
    {
        ++(runsByRequest_[request].*field);
        if (!key.empty())
            ++(runsByKey_[key].*field);
    }

    const FakeEngineSettings settings_;
    std::mutex mutex_;
    std::set<StreamPointer> running_;
    std::map<std::pair<int, std::uint64_t>, StreamPointer> waiting_;
    std::list<std::string> cache_;
    std::map<std::string, RunCount> runsByRequest_;
    std::map<std::string, RunCount> runsByKey_;
    std::uint64_t arrivals_ = 0;
    std::int64_t tokensMade_ = 0;
    std::int64_t tokensCancelled_ = 0;
    double slow_ = 1;
    bool frozen_ = false;
    std::int64_t crashAfterTokens_ = 0;
    bool refuse_ = false;
    std::string reset_;
    bool draining_ = false;
    TimerThread timers_;
};

FakeEngine::FakeEngine(const FakeEngineSettings &settings)
    : impl_(std::make_unique<Impl>(settings))
{
}

FakeEngine::~FakeEngine() = default;

void FakeEngine::handle(const http::HttpRequest &request,
                        std::shared_ptr<http::HttpResponder> responder)
{
    impl_->handle(request, std::move(responder));
}

} // namespace monsoongrade::standins
