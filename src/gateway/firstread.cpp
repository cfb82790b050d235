#include <monsoongrade/gateway/firstread.h>

#include <utility>

namespace monsoongrade::gateway {

namespace {

// A first read takes some milliseconds, and below a second where a whole fleet reads at once.
constexpr auto WaitFromStart = std::chrono::milliseconds(800);

} // namespace

FirstRead::FirstRead(httpio::Timers &timers)
    : timers_(timers)
    , waitEndsAt_(timers.now() + WaitFromStart)
{
}

void FirstRead::onConfiguration()
{
    hasConfiguration_ = true;
    if (isComplete())
        release();
}

void FirstRead::onEndpoints()
{
    hasEndpoints_ = true;
    if (isComplete())
        release();
}

bool FirstRead::isAwaited() const
{
    return !isComplete() && timers_.now() < waitEndsAt_;
}

void FirstRead::await(std::function<void()> function)
{
    waiting_.push_back(std::move(function));
    if (!isTimerSet_)
        timers_.at(waitEndsAt_, [this] { release(); });
    isTimerSet_ = true;
}

void FirstRead::release()
{
    std::vector<std::function<void()>> waiting;
    waiting.swap(waiting_);
    for (const auto &function : waiting)
        function();
}

} // namespace monsoongrade::gateway
