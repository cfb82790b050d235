#ifndef MONSOONGRADE_STANDINS_TIMERTHREAD_H
#define MONSOONGRADE_STANDINS_TIMERTHREAD_H

#include <chrono>
#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

namespace monsoongrade::standins {

// Runs functions after a time, on one thread of its own.
class TimerThread
{
public:
    TimerThread();
    // Functions still waiting are dropped.
    ~TimerThread();

    void after(std::chrono::nanoseconds delay, std::function<void()> function);

private:
    using TimePoint = std::chrono::steady_clock::time_point;

    void run();

    std::mutex mutex_;
    std::condition_variable changed_;
    std::multimap<TimePoint, std::function<void()>> waiting_;
    bool stopping_ = false;
    std::thread thread_;
};

} // namespace monsoongrade::standins

#endif // MONSOONGRADE_STANDINS_TIMERTHREAD_H
