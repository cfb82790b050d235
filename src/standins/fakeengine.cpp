#include <monsoongrade/standins/fakeengine.h>

#include <standins/internal/enginestream.h>
#include <standins/internal/engineswitches.h>

#include <monsoongrade/standins/loadhistory.h>
#include <monsoongrade/standins/runbook.h>
#include <monsoongrade/timing/threaddelayer.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <list>
#include <map>
#include <mutex>
#include <set>

namespace monsoongrade::standins {

namespace {

using internal::EngineStream;
using internal::EngineStreamPointer;
using internal::EngineSwitches;
using nlohmann::json;
using Responder = std::shared_ptr<http::HttpResponder>;
using Clock = std::chrono::steady_clock;

const http::Headers JsonHeaders{{"Content-Type", "application/json"}};
const http::Headers StreamHeaders{{"Content-Type", "text/event-stream"}};
constexpr std::size_t PrefixBytes = 256;
constexpr auto FrozenCheck = std::chrono::milliseconds(50);
constexpr auto SpeedWindow = std::chrono::seconds(1);

json countsOf(const std::map<std::string, RunCount> &runs)
{
    json out = json::object();
    for (const auto &[name, count] : runs)
        out[name]
            = {{"begun", count.begun},   {"ended", count.ended},     {"cancelled", count.cancelled},
               {"broken", count.broken}, {"resumed", count.resumed}, {"hash", count.answerHash}};
    return out;
}

} // namespace

// The timer thread's functions may use this as it is: the timers are the last member, so they
// have stopped before anything else is destroyed. Handlers of responders can outlive the engine
// and so hold it weakly.
class FakeEngine::Impl : public std::enable_shared_from_this<FakeEngine::Impl>
{
public:
    explicit Impl(const FakeEngineSettings &settings)
        : settings_(settings)
        , runs_(settings.mostRunsKept, settings.journalPath)
    {
    }

    void handle(const http::HttpRequest &request, Responder responder)
    {
        const std::lock_guard lock(mutex_);
        if (answerAdmin(request, *responder))
            return;
        if (switches_.reset == "before" && switches_.takeReset()) {
            responder->abort();
            return;
        }
        if (switches_.refuse || switches_.draining) {
            responder->answer(503, JsonHeaders, R"({"error":"not accepting"})");
            return;
        }
        if (request.path != "/v1/chat/completions" && request.path != "/v1/completions")
            serve(request, std::move(responder));
        else
            complete(request, std::move(responder));
    }

private:
    bool answerAdmin(const http::HttpRequest &request, http::HttpResponder &responder)
    {
        if (request.path == "/admin/switches") {
            const bool understood = setSwitches(request.body);
            responder.answer(understood ? 200 : 400, JsonHeaders, "{}");
        } else if (request.path == "/load") {
            responder.answer(200, JsonHeaders, loadReport());
        } else if (request.path == "/runs") {
            responder.answer(200, JsonHeaders, runReport());
        } else if (request.path == "/totals") {
            responder.answer(200, JsonHeaders, totals().dump());
        } else {
            return false;
        }
        return true;
    }

    std::string loadReport() const
    {
        const auto then = Clock::now() - switches_.loadLag;
        const EngineLoad load = loads_.at(then);
        return json{
            {"running", load.running},
            {"waiting", load.waiting},
            {"slots", settings_.slots},
            {"tokens_per_second", load.tokensMade - loads_.at(then - SpeedWindow).tokensMade},
            {"draining", load.draining}}
            .dump();
    }

    json totals() const
    {
        return {{"incarnation", incarnation_},
                {"runs", runsBegun_},
                {"tokens", tokensMade_},
                {"tokens_ended", tokensEnded_},
                {"tokens_cancelled", tokensCancelled_}};
    }

    std::string runReport() const
    {
        json report = totals();
        report["requests"] = countsOf(runs_.requests());
        report["keys"] = countsOf(runs_.keys());
        report["forgotten"] = runs_.forgotten();
        return report.dump();
    }

    bool setSwitches(const std::string &text)
    {
        const auto next = switches_.changedBy(text);
        if (!next)
            return false;
        switches_ = *next;
        noteLoad();
        if (switches_.crash)
            crash();
        return true;
    }

    void crash()
    {
        // Those that wait have not begun.
        for (const auto &entry : waiting_) {
            entry.second->responder->abort();
            entry.second->gone = true;
        }
        waiting_.clear();
        while (!running_.empty())
            breakOff(*running_.begin());
        if (settings_.onCrash)
            settings_.onCrash();
    }

    void serve(const http::HttpRequest &request, Responder responder)
    {
        const std::string id = request.header("monsoongrade-request-id");
        const std::string key = request.header("idempotency-key");
        runs_.begun(id, key);
        ++runsBegun_;
        if (switches_.reset == "after" && switches_.takeReset()) {
            runs_.broken(id, key);
            responder->abort();
            return;
        }
        // The run's number makes each run's answer another: an answer that two callers got for
        // one key shows that they share a run.
        const std::string answer
            = json{{"path", request.path},
                   {"echo", request.body},
                   {"run", std::to_string(incarnation_) + "-" + std::to_string(runsBegun_)}}
                  .dump(-1, ' ', false, json::error_handler_t::replace);
        endService(id, key, answer, responder);
    }

    void endService(const std::string &id, const std::string &key, const std::string &answer,
                    const Responder &responder)
    {
        if (switches_.frozen) {
            timers_.after(FrozenCheck, [=] {
                const std::lock_guard lock(mutex_);
                endService(id, key, answer, responder);
            });
            return;
        }
        runs_.ended(id, key, static_cast<std::uint32_t>(std::hash<std::string>()(answer)));
        responder->answer(200, JsonHeaders, answer);
    }

    void complete(const http::HttpRequest &request, Responder responder)
    {
        auto read = internal::readCompletion(request, settings_.canResume);
        if (!read) {
            responder->answer(400, JsonHeaders, R"({"error":"not a completions request"})");
            return;
        }
        const auto stream = std::make_shared<EngineStream>(std::move(*read));
        stream->responder = std::move(responder);
        stream->responder->onGone([engine = weak_from_this(), weak = std::weak_ptr(stream)] {
            const auto self = engine.lock();
            const auto left = weak.lock();
            if (self && left)
                self->callerGone(left);
        });
        if (static_cast<int>(running_.size()) < settings_.slots)
            begin(stream);
        else
            waiting_.insert({{stream->priority, ++arrivals_}, stream});
        noteLoad();
    }

    void begin(const EngineStreamPointer &stream)
    {
        running_.insert(stream);
        runs_.begun(stream->requestId, stream->idempotencyKey);
        ++runsBegun_;
        if (stream->done > 0)
            runs_.resumed(stream->requestId, stream->idempotencyKey);
        if (switches_.reset == "after" && switches_.takeReset()) {
            breakOff(stream);
            return;
        }
        if (stream->streamed)
            beginStream(*stream);
        const bool cached = useCache(stream->prompt.substr(0, PrefixBytes));
        const std::size_t toRead = cached
            ? stream->prompt.size() - std::min(PrefixBytes, stream->prompt.size())
            : stream->prompt.size();
        const auto prefill = std::chrono::duration<double, std::micro>(
            settings_.prefillMicrosPerByte * static_cast<double>(toRead) * switches_.slow);
        schedule(stream, std::chrono::duration_cast<std::chrono::nanoseconds>(prefill));
    }

    // The header says that the offset was understood: an answer without it begins anew.
    static void beginStream(EngineStream &stream)
    {
        http::Headers headers = StreamHeaders;
        if (stream.done > 0)
            headers.emplace_back("resume-offset", std::to_string(stream.done));
        stream.responder->begin(200, headers);
    }

    void schedule(const EngineStreamPointer &stream, std::chrono::nanoseconds prefill)
    {
        const double batch = 1 + settings_.batchCost * static_cast<double>(running_.size() - 1);
        const auto gap = std::chrono::duration_cast<std::chrono::nanoseconds>(
            std::chrono::duration<double>(switches_.slow * batch / settings_.tokensPerSecond));
        timers_.after(prefill + gap, [this, stream] { makeToken(stream); });
    }

    void makeToken(const EngineStreamPointer &stream)
    {
        const std::lock_guard lock(mutex_);
        if (stream->gone)
            return;
        if (switches_.frozen) {
            timers_.after(FrozenCheck, [this, stream] { makeToken(stream); });
            return;
        }
        if (switches_.crashAfterTokens > 0 && stream->madeHere >= switches_.crashAfterTokens) {
            breakOff(stream);
            return;
        }
        if (stream->done < stream->length) {
            ++tokensMade_;
            const std::string event = stream->makeToken();
            if (stream->streamed)
                stream->responder->write(event, {});
        }
        noteLoad();
        if (stream->done < stream->length)
            schedule(stream, std::chrono::nanoseconds(0));
        else
            end(stream);
    }

    void end(const EngineStreamPointer &stream)
    {
        if (stream->streamed) {
            stream->responder->write("data: [DONE]\n\n", {});
            stream->responder->end();
        } else {
            stream->responder->answer(200, JsonHeaders, stream->wholeAnswer());
        }
        runs_.ended(stream->requestId, stream->idempotencyKey, stream->answerHash);
        tokensEnded_ += stream->madeHere;
        finish(stream);
    }

    void breakOff(const EngineStreamPointer &stream)
    {
        runs_.broken(stream->requestId, stream->idempotencyKey);
        stream->responder->abort();
        finish(stream);
    }

    void callerGone(const EngineStreamPointer &stream)
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
        runs_.cancelled(stream->requestId, stream->idempotencyKey);
        tokensCancelled_ += stream->madeHere;
        finish(stream);
    }

    // By value: the caller may pass an entry of the set that it is erased from.
    void finish(EngineStreamPointer stream)
    {
        stream->gone = true;
        running_.erase(stream);
        if (!waiting_.empty() && static_cast<int>(running_.size()) < settings_.slots) {
            const EngineStreamPointer next = waiting_.begin()->second;
            waiting_.erase(waiting_.begin());
            begin(next);
        }
        noteLoad();
    }

    void noteLoad()
    {
        loads_.add(Clock::now(),
                   {running_.size(), waiting_.size(), tokensMade_, switches_.draining});
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

    const FakeEngineSettings settings_;
    // Tells this life of the process from any other.
    const std::int64_t incarnation_ = Clock::now().time_since_epoch().count();
    std::mutex mutex_;
    EngineSwitches switches_;
    RunBook runs_;
    LoadHistory loads_;
    std::set<EngineStreamPointer> running_;
    std::map<std::pair<int, std::uint64_t>, EngineStreamPointer> waiting_;
    std::list<std::string> cache_;
    std::uint64_t arrivals_ = 0;
    std::int64_t runsBegun_ = 0;
    std::int64_t tokensMade_ = 0;
    std::int64_t tokensEnded_ = 0;
    std::int64_t tokensCancelled_ = 0;
    timing::ThreadDelayer timers_;
};

FakeEngine::FakeEngine(const FakeEngineSettings &settings)
    : impl_(std::make_shared<Impl>(settings))
{
}

FakeEngine::~FakeEngine() = default;

void FakeEngine::handle(const http::HttpRequest &request,
                        std::shared_ptr<http::HttpResponder> responder)
{
    impl_->handle(request, std::move(responder));
}

} // namespace monsoongrade::standins
