#include <monsoongrade/requests/openrequests.h>

namespace monsoongrade::requests {

using units::ResultCode;

units::Result<std::shared_ptr<void>> OpenRequests::open(const ClassifiedRequest &request)
{
    const auto workspace = request.configuration->workspaces.find(request.workspace);
    const std::size_t workspaceLimit
        = workspace == request.configuration->workspaces.end() ? 0 : workspace->second.openLimit;
    const units::ClassName className = request.classConfig.policy.name;
    const std::lock_guard lock(mutex_);
    if (total_ >= limit_)
        return units::fail(ResultCode::TooManyRequestsOpen,
                           "this router has as many requests open as it may; use another");
    if (workspaceLimit > 0 && byWorkspace_[request.workspace] >= workspaceLimit)
        return units::fail(ResultCode::WorkspaceLimitReached,
                           "the workspace has " + std::to_string(workspaceLimit)
                               + " requests open at this router, its open-limit");
    ++total_;
    ++byClass_[className];
    ++byWorkspace_[request.workspace];
    return std::shared_ptr<void>(
        nullptr, [this, className, name = request.workspace](void *) { close(className, name); });
}

std::size_t OpenRequests::total() const
{
    const std::lock_guard lock(mutex_);
    return total_;
}

std::map<units::ClassName, std::size_t> OpenRequests::byClass() const
{
    const std::lock_guard lock(mutex_);
    return byClass_;
}

void OpenRequests::close(const units::ClassName &className, const units::WorkspaceName &workspace)
{
    const std::lock_guard lock(mutex_);
    --total_;
    --byClass_[className];
    const auto entry = byWorkspace_.find(workspace);
    if (--entry->second == 0)
        byWorkspace_.erase(entry);
}

} // namespace monsoongrade::requests
