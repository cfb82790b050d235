#include <monsoongrade/requests/claimsweeping.h>

namespace monsoongrade::requests {

ClaimSweeping::ClaimSweeping(ClaimSweeper &sweeper, std::function<SweepShare()> share)
    : sweeper_(sweeper)
    , share_(std::move(share))
    , thread_([this] { run(); })
{
}

ClaimSweeping::~ClaimSweeping()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    stop_.notify_all();
    thread_.join();
}

void ClaimSweeping::run()
{
    std::unique_lock lock(mutex_);
    while (!stopping_) {
        lock.unlock();
        const units::Duration wait = sweeper_.step(share_());
        lock.lock();
        stop_.wait_for(lock, wait, [this] { return stopping_; });
    }
}

} // namespace monsoongrade::requests
