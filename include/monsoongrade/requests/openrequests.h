#ifndef MONSOONGRADE_REQUESTS_OPENREQUESTS_H
#define MONSOONGRADE_REQUESTS_OPENREQUESTS_H

#include <monsoongrade/requests/classifiedrequest.h>
#include <monsoongrade/units/result.h>

#include <map>
#include <memory>
#include <mutex>

namespace monsoongrade::requests {

// Counts the requests open at a router, in all and by workspace and class, and keeps the limits.
// Thread-safe. Must outlive its tickets.
class OpenRequests
{
public:
    explicit OpenRequests(std::size_t limit)
        : limit_(limit)
    {
    }

    // A ticket that counts the request until it is destroyed.
    // Errors: TooManyRequestsOpen, WorkspaceLimitReached.
    units::Result<std::shared_ptr<void>> open(const ClassifiedRequest &request);

    std::size_t total() const;
    bool isFull() const { return total() >= limit_; }
    // Also names classes that have none open now but had.
    std::map<units::ClassName, std::size_t> byClass() const;

private:
    void close(const units::ClassName &className, const units::WorkspaceName &workspace);

    const std::size_t limit_;
    mutable std::mutex mutex_;
    std::size_t total_ = 0;
    std::map<units::ClassName, std::size_t> byClass_;
    std::map<units::WorkspaceName, std::size_t> byWorkspace_;
};

} // namespace monsoongrade::requests

#endif // MONSOONGRADE_REQUESTS_OPENREQUESTS_H
