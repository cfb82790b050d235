#include <monsoongrade/load/loadrunner.h>

#include <load/internal/attempt.h>

#include <monsoongrade/load/addressbook.h>

#include <algorithm>
#include <condition_variable>
#include <map>
#include <mutex>

namespace monsoongrade::load {

namespace {

using internal::AttemptEnd;
using internal::PlannedCall;
using units::TimePoint;
using Clock = std::chrono::steady_clock;

constexpr auto ProgressPeriod = std::chrono::seconds(1);
constexpr auto MaxWait = std::chrono::milliseconds(20);

// All calls of one script. Handlers of the client's thread only note what is to be done; the
// thread of run() does it, so that a call's id is known before anything is done with it.
class Runner : public std::enable_shared_from_this<Runner>
{
public:
    Runner(const LoadScript &script, endpoints::EndpointClient &client)
        : script_(script)
        , client_(client)
        , calls_(internal::planCalls(script_))
    {
    }

    std::vector<LoadResult> run(const std::function<void(const std::string &)> &progress)
    {
        begin_ = Clock::now();
        for (PlannedCall &call : calls_)
            due_.emplace(begin_ + call.start, [this, &call] { findAddress(call); });
        open_ = calls_.size();
        TimePoint nextProgress = begin_ + ProgressPeriod;
        while (step()) {
            if (Clock::now() < nextProgress)
                continue;
            nextProgress += ProgressPeriod;
            std::unique_lock lock(mutex_);
            const std::size_t ended = calls_.size() - open_;
            lock.unlock();
            progress(std::to_string(ended) + " of " + std::to_string(calls_.size())
                     + " requests have ended");
        }
        const std::lock_guard lock(mutex_);
        finished_ = true;
        compareRepeats();
        std::vector<LoadResult> results;
        for (const PlannedCall &call : calls_)
            results.push_back(call.result);
        return results;
    }

private:
    bool step()
    {
        std::vector<std::function<void()>> ready;
        {
            std::unique_lock lock(mutex_);
            const TimePoint now = Clock::now();
            if (open_ == 0 || now > begin_ + script_.giveUpAfter)
                return false;
            while (!due_.empty() && due_.begin()->first <= now) {
                ready.push_back(std::move(due_.begin()->second));
                due_.erase(due_.begin());
            }
            if (ready.empty()) {
                TimePoint until = now + MaxWait;
                if (!due_.empty())
                    until = std::min(until, due_.begin()->first);
                changed_.wait_until(lock, until);
            }
        }
        for (const auto &function : ready)
            function();
        return true;
    }

    void doAt(TimePoint time, std::function<void()> function)
    {
        const std::lock_guard lock(mutex_);
        due_.emplace(time, std::move(function));
        changed_.notify_one();
    }

    void findAddress(PlannedCall &call)
    {
        if (call.firstSent == TimePoint())
            call.firstSent = Clock::now();
        auto &book = books_[{call.loadClass, call.caller}];
        if (!book)
            book
                = std::make_shared<AddressBook>(client_, script_.entry, script_.asksForEntryPoints);
        // Come-backs and repeats go to another address.
        const std::size_t place
            = call.caller + call.repeat + static_cast<std::size_t>(call.result.attempts - 1);
        book->pick(place, [self = shared_from_this(), &call](const std::string &address) {
            self->doAt(Clock::now(), [&self = *self, &call, address] { self.send(call, address); });
        });
    }

    void send(PlannedCall &call, const std::string &address)
    {
        const LoadClass &loadClass = *call.loadClass;
        endpoints::EndpointRequest request;
        request.method = loadClass.method;
        request.url = address + loadClass.path;
        request.headers
            = {{"Content-Type", "application/json"}, {"Authorization", "Bearer " + call.key}};
        request.headers.insert(request.headers.end(), loadClass.headers.begin(),
                               loadClass.headers.end());
        if (!call.result.idempotencyKey.empty())
            request.headers.emplace_back("Idempotency-Key", call.result.idempotencyKey);
        request.body = bodyOf(call);
        request.silenceTimeout = script_.giveUpAfter;
        // The client's library must not repeat a call by itself: runs are counted.
        request.freshConnection = loadClass.model.empty();
        call.result.address = address;
        const auto self = shared_from_this();
        internal::AttemptHandlers handlers;
        handlers.ended = [self, &call](const AttemptEnd &end) {
            self->ended(call, end);
        };
        handlers.paused = [self, &call](units::Duration pause) {
            self->doAt(Clock::now() + pause,
                       [&self = *self, &call] { self.client_.resume(call.call); });
        };
        handlers.left = [self, &call](const AttemptEnd &end) {
            self->doAt(Clock::now(), [&self = *self, &call, end] {
                self.client_.cancel(call.call);
                self.ended(call, end);
            });
        };
        call.call
            = client_.start(std::move(request),
                            std::make_shared<internal::AttemptListener>(call, std::move(handlers)));
    }

    void ended(PlannedCall &call, const AttemptEnd &end)
    {
        const std::lock_guard lock(mutex_);
        if (finished_ || call.ended)
            return;
        const TimePoint now = Clock::now();
        LoadResult &result = call.result;
        result.outcome = end.outcome;
        result.code = end.code;
        result.reason = end.reason;
        result.runState = end.runState;
        result.requestId = end.requestId;
        result.answerHash = end.answerHash;
        result.retryAfterGiven = end.retryAfter.has_value();
        result.tokens = end.tokens;
        result.whole = now - call.firstSent;
        if (end.firstToken)
            result.firstToken = *end.firstToken - call.firstSent;
        const auto sendAgain = sendAgainAt(call, end, now);
        if (sendAgain) {
            ++result.attempts;
            due_.emplace(*sendAgain, [this, &call] { findAddress(call); });
        } else {
            call.ended = true;
            --open_;
        }
        changed_.notify_one();
    }

    static std::optional<TimePoint> sendAgainAt(PlannedCall &call, const AttemptEnd &end,
                                                TimePoint now)
    {
        const LoadClass &loadClass = *call.loadClass;
        if (end.outcome == LoadOutcome::Refused && end.retryAfter
            && call.result.attempts - call.errorRepeats <= loadClass.comeBack)
            return now + *end.retryAfter;
        if (end.outcome == LoadOutcome::Failed && !call.result.idempotencyKey.empty()
            && call.errorRepeats < loadClass.repeatsAfterError) {
            ++call.errorRepeats;
            return now;
        }
        return std::nullopt;
    }

    // Whoever repeats a key must get the answer of the one run, not another's.
    void compareRepeats()
    {
        std::map<std::string, const LoadResult *> first;
        for (PlannedCall &call : calls_) {
            LoadResult &result = call.result;
            if (result.idempotencyKey.empty() || result.outcome != LoadOutcome::Answered)
                continue;
            const auto [entry, isNew] = first.emplace(result.idempotencyKey, &result);
            if (!isNew && entry->second->answerHash != result.answerHash)
                result.outcome = LoadOutcome::Unequal;
        }
    }

    const LoadScript script_;
    endpoints::EndpointClient &client_;
    std::vector<PlannedCall> calls_;
    std::map<std::pair<const LoadClass *, std::size_t>, std::shared_ptr<AddressBook>> books_;
    TimePoint begin_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::multimap<TimePoint, std::function<void()>> due_;
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
