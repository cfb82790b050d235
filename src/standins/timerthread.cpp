#include <monsoongrade/standins/timerthread.h>

namespace monsoongrade::standins {

TimerThread::TimerThread()
    : thread_([this] { run(); })
{
}

TimerThread::~TimerThread()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    changed_.notify_one();
    thread_.join();
}

void TimerThread::after(std::chrono::nanoseconds delay, std::function<void()> function)
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

void TimerThread::run()
{
    std::unique_lock lock(mutex_);
    while (!stopping_) {
        if (waiting_.empty()) {
            changed_.wait(lock);
            continue;
        }
        const auto first = waiting_.begin();
        if (first->first > std::chrono::steady_clock::now()) {
            const TimePoint until = first->first;
            changed_.wait_until(lock, until);
            continue;
        }
        const auto function = std::move(first->second);
        waiting_.erase(first);
        lock.unlock();
        function();
        lock.lock();
    }
}

} // namespace monsoongrade::standins
