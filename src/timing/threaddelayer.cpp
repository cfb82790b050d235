#include <monsoongrade/timing/threaddelayer.h>

namespace monsoongrade::timing {

ThreadDelayer::ThreadDelayer()
    : thread_([this] { run(); })
{
}

ThreadDelayer::~ThreadDelayer()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    changed_.notify_one();
    thread_.join();
}

void ThreadDelayer::after(units::Duration delay, std::function<void()> function)
{
    bool isFirst = false;
    {
        const std::lock_guard lock(mutex_);
        const auto entry
            = waiting_.emplace(std::chrono::steady_clock::now() + delay, std::move(function));
        isFirst = entry == waiting_.begin();
    }
    // The thread already waits for whatever is due before this one.
    if (isFirst)
        changed_.notify_one();
}

void ThreadDelayer::run()
{
    std::unique_lock lock(mutex_);
    while (!stopping_) {
        if (waiting_.empty()) {
            changed_.wait(lock);
        } else if (waiting_.begin()->first > std::chrono::steady_clock::now()) {
            const units::TimePoint until = waiting_.begin()->first;
            changed_.wait_until(lock, until);
        } else {
            const auto function = std::move(waiting_.begin()->second);
            waiting_.erase(waiting_.begin());
            lock.unlock();
            function();
            lock.lock();
        }
    }
}

} // namespace monsoongrade::timing
