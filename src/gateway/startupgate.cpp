#include <monsoongrade/gateway/startupgate.h>

#include <utility>

namespace monsoongrade::gateway {

namespace {

// A first read takes some milliseconds, and below a second where a whole fleet reads at once.
constexpr auto WaitFromStart = std::chrono::milliseconds(800);

} // namespace

StartupGate::StartupGate(httpio::Timers &timers)
    : timers_(timers)
    , waitEndsAt_(timers.now() + WaitFromStart)
{
}

void StartupGate::onConfiguration()
{
    hasConfiguration_ = true;
    if (isComplete())
        release();
}

void StartupGate::onEndpoints()
{
    hasEndpoints_ = true;
    if (isComplete())
        release();
}

bool StartupGate::isAwaited() const
{
    return !isComplete() && timers_.now() < waitEndsAt_;
}

void StartupGate::await(std::function<void()> function)
{
    waiting_.push_back(std::move(function));
    if (!isTimerSet_)
        timers_.at(waitEndsAt_, [this] { release(); });
    isTimerSet_ = true;
}

void StartupGate::release()
{
    std::vector<std::function<void()>> waiting;
    waiting.swap(waiting_);
    for (const auto &function : waiting)
        function();
}

} // namespace monsoongrade::gateway
