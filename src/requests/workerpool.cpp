#include <monsoongrade/requests/workerpool.h>

namespace monsoongrade::requests {

WorkerPool::WorkerPool(std::size_t threads, std::size_t queueLimit)
    : queueLimit_(queueLimit)
{
    for (std::size_t i = 0; i < threads; ++i)
        threads_.emplace_back([this] { run(); });
}

WorkerPool::~WorkerPool()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    changed_.notify_all();
    for (std::thread &thread : threads_)
        thread.join();
}

bool WorkerPool::tryPost(std::function<void()> function)
{
    {
        const std::lock_guard lock(mutex_);
        if (queue_.size() >= queueLimit_)
            return false;
        queue_.push_back(std::move(function));
    }
    changed_.notify_one();
    return true;
}

void WorkerPool::run()
{
    std::unique_lock lock(mutex_);
    while (true) {
        changed_.wait(lock, [this] { return stopping_ || !queue_.empty(); });
        if (stopping_)
            return;
        const auto function = std::move(queue_.front());
        queue_.pop_front();
        lock.unlock();
        function();
        lock.lock();
    }
}

} // namespace monsoongrade::requests
