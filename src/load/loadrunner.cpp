#include <monsoongrade/load/loadrunner.h>

#include <monsoongrade/load/addressbook.h>
#include <monsoongrade/load/answerchecker.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <random>

namespace monsoongrade::load {

namespace {

using endpoints::EndpointEnd;
using endpoints::FlowControl;
using nlohmann::json;
using Clock = std::chrono::steady_clock;
using units::ResultCode;
using units::TimePoint;

constexpr auto ProgressPeriod = std::chrono::seconds(1);
constexpr auto RetryAfterNoAnswer = std::chrono::seconds(1);

// One planned request, and how far it has got.
struct PlannedCall
{
    const LoadClass *loadClass = nullptr;
    std::size_t number = 0;
    std::string key;
    std::string prompt;
    std::string idempotencyKey;
    std::int64_t tokens = 0;
    units::Duration start{};
    TimePoint firstSent{};
    LoadResult result;
};

// What one attempt led to.
struct AttemptEnd
{
    LoadOutcome outcome = LoadOutcome::Failed;
    int code = 0;
    std::string reason;
    std::optional<units::Duration> retryAfter;
    std::optional<TimePoint> firstToken;
    std::int64_t tokens = 0;
};

class AttemptListener : public endpoints::EndpointListener
{
public:
    AttemptListener(const PlannedCall &call, std::function<void(const AttemptEnd &)> onEnd)
        : checker_(call.prompt, call.tokens, call.loadClass->streamed)
        , checksTokens_(!call.loadClass->model.empty())
        , onEnd_(std::move(onEnd))
    {
    }

    void answerHead(int status, const endpoints::Headers &headers) override
    {
        status_ = status;
        for (const auto &[name, value] : headers) {
            if (name == "retry-after")
                end_.retryAfter = std::chrono::seconds(std::atol(value.c_str()));
        }
    }

    FlowControl answerBody(std::string_view bytes) override
    {
        if (status_ != 200) {
            refusal_.append(bytes);
            return FlowControl::Continue;
        }
        if (!end_.firstToken)
            end_.firstToken = Clock::now();
        checker_.add(bytes);
        return FlowControl::Continue;
    }

    void answerEnd(const EndpointEnd &end) override
    {
        if (status_ != 200 && status_ != 0)
            readRefusal();
        else if (end.code != ResultCode::Ok)
            noAnswer(end);
        else
            judge();
        onEnd_(end_);
    }

private:
    void readRefusal()
    {
        const json body = json::parse(refusal_, nullptr, false);
        end_.outcome = LoadOutcome::Failed;
        if (!body.is_object() || !body.contains("error") || !body["error"].is_object()) {
            end_.reason = "status-" + std::to_string(status_);
            return;
        }
        const json &error = body["error"];
        end_.code = error.value("code", 0);
        end_.reason = error.value("reason", "");
        if (error.value("run_state", "") == "not-run")
            end_.outcome = LoadOutcome::Refused;
    }

    // A refused connection never reached the system; the caller goes to another address.
    void noAnswer(const EndpointEnd &end)
    {
        end_.code = static_cast<int>(end.code);
        end_.reason = std::string(units::resultCodeName(end.code));
        if (end.requestSent)
            return;
        end_.outcome = LoadOutcome::Refused;
        end_.retryAfter = RetryAfterNoAnswer;
    }

    void judge()
    {
        end_.outcome = LoadOutcome::Answered;
        if (!checksTokens_)
            return;
        const AnswerVerdict verdict = checker_.verdict();
        end_.tokens = checker_.tokens();
        if (verdict == AnswerVerdict::Mixed)
            end_.outcome = LoadOutcome::Mixed;
        else if (verdict == AnswerVerdict::CutShort)
            end_.outcome = LoadOutcome::CutShort;
        else if (verdict == AnswerVerdict::ErrorEvent)
            end_.outcome = LoadOutcome::Failed;
        end_.code = checker_.errorCode();
        end_.reason = checker_.errorReason();
    }

    AnswerChecker checker_;
    bool checksTokens_;
    std::function<void(const AttemptEnd &)> onEnd_;
    int status_ = 0;
    std::string refusal_;
    AttemptEnd end_;
};

std::vector<PlannedCall> plan(const LoadScript &script)
{
    std::mt19937_64 random(script.seed);
    std::vector<PlannedCall> calls;
    for (const LoadClass &loadClass : script.classes) {
        for (std::size_t i = 0; i < loadClass.count; ++i) {
            PlannedCall call;
            call.loadClass = &loadClass;
            call.number = calls.size();
            call.key = loadClass.keys[random() % loadClass.keys.size()];
            const double place
                = (static_cast<double>(i) + std::uniform_real_distribution<double>(0, 1)(random))
                / static_cast<double>(loadClass.count);
            call.start = loadClass.start
                + std::chrono::duration_cast<units::Duration>(loadClass.within * place);
            call.tokens = std::uniform_int_distribution<std::int64_t>(loadClass.leastTokens,
                                                                      loadClass.mostTokens)(random);
            if (loadClass.prefixes > 0)
                call.prompt = std::string(
                    256,
                    static_cast<char>('a'
                                      + random() % std::min<std::size_t>(26, loadClass.prefixes)));
            call.prompt
                += "request " + std::to_string(call.number) + " " + std::to_string(random()) + " ";
            if (call.prompt.size() < loadClass.promptBytes)
                call.prompt.resize(loadClass.promptBytes, '.');
            if (loadClass.idempotencyKeys)
                call.idempotencyKey
                    = "key-" + std::to_string(script.seed) + "-" + std::to_string(call.number);
            call.result.className = loadClass.name;
            call.result.sentAt = call.start;
            calls.push_back(std::move(call));
        }
    }
    return calls;
}

class Runner
{
public:
    Runner(const LoadScript &script, endpoints::EndpointClient &client)
        : script_(script)
        , client_(client)
        , addresses_(client, script.entry)
        , calls_(plan(script))
    {
    }

    std::vector<LoadResult> run(const std::function<void(const std::string &)> &progress)
    {
        begin_ = Clock::now();
        for (PlannedCall &call : calls_)
            due_.emplace(begin_ + call.start, &call);
        open_ = calls_.size();
        TimePoint nextProgress = begin_ + ProgressPeriod;
        while (step(nextProgress, progress)) { }
        const std::lock_guard lock(mutex_);
        finished_ = true;
        std::vector<LoadResult> results;
        for (const PlannedCall &call : calls_)
            results.push_back(call.result);
        return results;
    }

private:
    bool step(TimePoint &nextProgress, const std::function<void(const std::string &)> &progress)
    {
        if (addresses_.isStale())
            addresses_.refresh();
        std::vector<PlannedCall *> ready;
        {
            std::unique_lock lock(mutex_);
            const TimePoint now = Clock::now();
            if (open_ == 0 || now > begin_ + script_.giveUpAfter)
                return false;
            while (!due_.empty() && due_.begin()->first <= now) {
                ready.push_back(due_.begin()->second);
                due_.erase(due_.begin());
            }
            if (ready.empty()) {
                TimePoint until = now + std::chrono::milliseconds(20);
                if (!due_.empty())
                    until = std::min(until, due_.begin()->first);
                changed_.wait_until(lock, until);
            }
        }
        for (PlannedCall *call : ready)
            send(*call);
        if (Clock::now() >= nextProgress) {
            nextProgress += ProgressPeriod;
            progress(std::to_string(calls_.size() - open_) + " of " + std::to_string(calls_.size())
                     + " requests have ended");
        }
        return true;
    }

    void send(PlannedCall &call)
    {
        const LoadClass &loadClass = *call.loadClass;
        json body{{"model", loadClass.model},
                  {"stream", loadClass.streamed},
                  {"messages", json::array({{{"role", "user"}, {"content", call.prompt}}})},
                  {"metadata", {{"answer_tokens", call.tokens}}}};
        endpoints::EndpointRequest request;
        request.url = addresses_.pick(call.number + static_cast<std::size_t>(call.result.attempts))
            + loadClass.path;
        request.headers
            = {{"Content-Type", "application/json"}, {"Authorization", "Bearer " + call.key}};
        request.headers.insert(request.headers.end(), loadClass.headers.begin(),
                               loadClass.headers.end());
        if (!call.idempotencyKey.empty())
            request.headers.emplace_back("Idempotency-Key", call.idempotencyKey);
        request.body = body.dump();
        request.silenceTimeout = script_.giveUpAfter;
        if (call.firstSent == TimePoint())
            call.firstSent = Clock::now();
        client_.start(std::move(request),
                      std::make_shared<AttemptListener>(
                          call, [this, &call](const AttemptEnd &end) { ended(call, end); }));
    }

    void ended(PlannedCall &call, const AttemptEnd &end)
    {
        const std::lock_guard lock(mutex_);
        if (finished_)
            return;
        const TimePoint now = Clock::now();
        LoadResult &result = call.result;
        result.outcome = end.outcome;
        result.code = end.code;
        result.reason = end.reason;
        result.tokens = end.tokens;
        result.whole = now - call.firstSent;
        if (end.firstToken)
            result.firstToken = *end.firstToken - call.firstSent;
        const bool comesBack = end.outcome == LoadOutcome::Refused && end.retryAfter
            && result.attempts <= call.loadClass->comeBack;
        if (comesBack) {
            ++result.attempts;
            due_.emplace(now + *end.retryAfter, &call);
        } else {
            --open_;
        }
        changed_.notify_one();
    }

    const LoadScript &script_;
    endpoints::EndpointClient &client_;
    AddressBook addresses_;
    std::vector<PlannedCall> calls_;
    TimePoint begin_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::multimap<TimePoint, PlannedCall *> due_;
    std::size_t open_ = 0;
    bool finished_ = false;
};

} // namespace

std::vector<LoadResult> runLoad(const LoadScript &script, endpoints::EndpointClient &client,
                                const std::function<void(const std::string &)> &progress)
{
    // Answers of calls that were given up may still arrive, so the runner outlives them all.
    const auto runner = std::make_shared<Runner>(script, client);
    return runner->run(progress);
}

} // namespace monsoongrade::load
