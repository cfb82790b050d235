#ifndef MONSOONGRADE_REQUESTS_CLAIMSWEEPING_H
#define MONSOONGRADE_REQUESTS_CLAIMSWEEPING_H

#include <monsoongrade/requests/claimsweeper.h>

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace monsoongrade::requests {

// Runs a sweeper on a thread of its own, since its calls block.
class ClaimSweeping
{
public:
    // share is asked before each step, on that thread; both must outlive this object.
    ClaimSweeping(ClaimSweeper &sweeper, std::function<SweepShare()> share);
    ~ClaimSweeping();

private:
    void run();

    ClaimSweeper &sweeper_;
    const std::function<SweepShare()> share_;
    std::mutex mutex_;
    std::condition_variable stop_;
    bool stopping_ = false;
    std::thread thread_;
};

} // namespace monsoongrade::requests

#endif // MONSOONGRADE_REQUESTS_CLAIMSWEEPING_H
