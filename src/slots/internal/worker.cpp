#include <slots/internal/worker.h>

#include <chrono>

namespace monsoongrade::slots::internal {

namespace {

constexpr auto TickPeriod = std::chrono::milliseconds(20);

} // namespace

Worker::Worker(std::function<void()> tick)
    : tick_(std::move(tick))
    , thread_([this] { run(); })
{
}

Worker::~Worker()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    wake_.notify_one();
    thread_.join();
}

void Worker::post(std::function<void()> function)
{
    {
        const std::lock_guard lock(mutex_);
        queue_.push_back(std::move(function));
    }
    wake_.notify_one();
}

void Worker::run()
{
    auto nextTick = std::chrono::steady_clock::now() + TickPeriod;
    std::vector<std::function<void()>> batch;
    while (true) {
        {
            std::unique_lock lock(mutex_);
            wake_.wait_until(lock, nextTick, [this] { return stopping_ || !queue_.empty(); });
            if (stopping_ && queue_.empty())
                return;
            batch.swap(queue_);
        }
        for (const auto &function : batch)
            function();
        batch.clear();
        if (std::chrono::steady_clock::now() < nextTick)
            continue;
        tick_();
        nextTick = std::chrono::steady_clock::now() + TickPeriod;
    }
}

} // namespace monsoongrade::slots::internal
