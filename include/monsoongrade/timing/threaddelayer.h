#ifndef MONSOONGRADE_TIMING_THREADDELAYER_H
#define MONSOONGRADE_TIMING_THREADDELAYER_H

#include <monsoongrade/timing/delayer.h>

#include <condition_variable>
#include <map>
#include <mutex>
#include <thread>

namespace monsoongrade::timing {

// Delayer on one thread of its own.
class ThreadDelayer : public Delayer
{
public:
    ThreadDelayer();
    // Functions still waiting are dropped.
    ~ThreadDelayer() override;

    void after(units::Duration delay, std::function<void()> function) override;

private:
    void run();

    std::mutex mutex_;
    std::condition_variable changed_;
    std::multimap<units::TimePoint, std::function<void()>> waiting_;
    bool stopping_ = false;
    std::thread thread_;
};

} // namespace monsoongrade::timing

#endif // MONSOONGRADE_TIMING_THREADDELAYER_H
