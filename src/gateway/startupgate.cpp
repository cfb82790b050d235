#include <monsoongrade/gateway/startupgate.h>

#include <utility>

namespace monsoongrade::gateway {

namespace {

// The first read takes some milliseconds, and less than a second if the whole fleet reads at once.
constexpr auto MaxWaitFromStart = std::chrono::milliseconds(800);

} // namespace

StartupGate::StartupGate(httpio::Timers &timers)
    : timers_(timers)
    , opensAt_(timers.now() + MaxWaitFromStart)
{
}

void StartupGate::onConfiguration()
{
    hasConfiguration_ = true;
    if (isComplete())
        callWaiting();
}

void StartupGate::onEndpoints()
{
    hasEndpoints_ = true;
    if (isComplete())
        callWaiting();
}

bool StartupGate::isClosed() const
{
    return !isComplete() && timers_.now() < opensAt_;
}

void StartupGate::callWhenOpen(std::function<void()> function)
{
    waiting_.push_back(std::move(function));
    if (!isTimerSet_)
        timers_.at(opensAt_, [this] { callWaiting(); });
    isTimerSet_ = true;
}

void StartupGate::callWaiting()
{
    std::vector<std::function<void()>> waiting;
    waiting.swap(waiting_);
    for (const auto &function : waiting)
        function();
}

} // namespace monsoongrade::gateway
