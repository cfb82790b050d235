#ifndef MONSOONGRADE_REQUESTS_WORKERPOOL_H
#define MONSOONGRADE_REQUESTS_WORKERPOOL_H

#include <monsoongrade/requests/blockingworker.h>

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <mutex>
#include <thread>
#include <vector>

namespace monsoongrade::requests {

// BlockingWorker with a few threads and one bounded queue.
class WorkerPool : public BlockingWorker
{
public:
    WorkerPool(std::size_t threads, std::size_t queueLimit);
    // Functions still waiting are dropped.
    ~WorkerPool() override;

    bool tryPost(std::function<void()> function) override;

private:
    void run();

    const std::size_t queueLimit_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::deque<std::function<void()>> queue_;
    bool stopping_ = false;
    std::vector<std::thread> threads_;
};

} // namespace monsoongrade::requests

#endif // MONSOONGRADE_REQUESTS_WORKERPOOL_H
