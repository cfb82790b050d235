#ifndef MONSOONGRADE_TESTS_STANDINS_RECORDINGRESPONDER_H
#define MONSOONGRADE_TESTS_STANDINS_RECORDINGRESPONDER_H

#include <monsoongrade/http/httpresponder.h>

#include <chrono>
#include <condition_variable>
#include <mutex>

namespace monsoongrade {

// Keeps what a stand-in answers. Thread-safe.
class RecordingResponder : public http::HttpResponder
{
public:
    void answer(int status, http::Headers, std::string body) override
    {
        finish([&] {
            status_ = status;
            body_ = std::move(body);
        });
    }
    void begin(int status, http::Headers) override
    {
        const std::lock_guard lock(mutex_);
        status_ = status;
    }
    void write(std::string bytes, std::function<void(std::size_t)>) override
    {
        const std::lock_guard lock(mutex_);
        body_ += bytes;
        changed_.notify_all();
    }
    void end() override
    {
        finish([] {});
    }
    void abort() override
    {
        finish([this] { aborted_ = true; });
    }
    void onGone(std::function<void()> handler) override { gone_ = std::move(handler); }

    // As if the caller had closed its connection.
    void leave() { gone_(); }
    // True where the answer has ended or broken off; waits for it.
    bool waitForEnd()
    {
        std::unique_lock lock(mutex_);
        return changed_.wait_for(lock, std::chrono::seconds(10), [this] { return ended_; });
    }
    void waitForBytes()
    {
        std::unique_lock lock(mutex_);
        changed_.wait_for(lock, std::chrono::seconds(10), [this] { return !body_.empty(); });
    }
    bool hasEnded()
    {
        const std::lock_guard lock(mutex_);
        return ended_;
    }
    int status()
    {
        const std::lock_guard lock(mutex_);
        return status_;
    }
    bool aborted()
    {
        const std::lock_guard lock(mutex_);
        return aborted_;
    }
    std::string body()
    {
        const std::lock_guard lock(mutex_);
        return body_;
    }

private:
    template <typename Change>
    void finish(Change change)
    {
        const std::lock_guard lock(mutex_);
        change();
        ended_ = true;
        changed_.notify_all();
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::function<void()> gone_;
    int status_ = 0;
    std::string body_;
    bool aborted_ = false;
    bool ended_ = false;
};

} // namespace monsoongrade

#endif // MONSOONGRADE_TESTS_STANDINS_RECORDINGRESPONDER_H
