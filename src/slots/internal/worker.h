#ifndef MONSOONGRADE_SRC_SLOTS_INTERNAL_WORKER_H
#define MONSOONGRADE_SRC_SLOTS_INTERNAL_WORKER_H

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace monsoongrade::slots::internal {

// A thread that runs what is posted, in order, and a tick every 20 ms. Slot sources answer from
// it: their listeners must not be called from within the asker's own call.
class Worker
{
public:
    explicit Worker(std::function<void()> tick);
    // Runs what was posted before, then ends.
    ~Worker();

    void post(std::function<void()> function);

private:
    void run();

    std::function<void()> tick_;
    std::mutex mutex_;
    std::condition_variable wake_;
    std::vector<std::function<void()>> queue_;
    bool stopping_ = false;
    std::thread thread_;
};

} // namespace monsoongrade::slots::internal

#endif // MONSOONGRADE_SRC_SLOTS_INTERNAL_WORKER_H
