#ifndef MONSOONGRADE_REQUESTS_BLOCKINGWORKER_H
#define MONSOONGRADE_REQUESTS_BLOCKINGWORKER_H

#include <functional>

namespace monsoongrade::requests {

// Runs calls that block, away from the threads that serve connections. Thread-safe.
class BlockingWorker
{
public:
    virtual ~BlockingWorker() = default;
    // False where as many calls wait as may; the function is then never run.
    virtual bool tryPost(std::function<void()> function) = 0;
};

} // namespace monsoongrade::requests

#endif // MONSOONGRADE_REQUESTS_BLOCKINGWORKER_H
