#include <monsoongrade/httpio/timers.h>

#include <algorithm>

namespace monsoongrade::httpio {

Timers::Timers(asio::io_context &io, const units::Clock &clock)
    : timer_(io)
    , clock_(clock)
{
}

Timers::Handle Timers::at(units::TimePoint when, Function function)
{
    Handle handle;
    handle.at_ = when;
    handle.id_ = ++lastId_;
    scheduled_.emplace(std::make_pair(when, handle.id_), std::move(function));
    arm();
    return handle;
}

Timers::Handle Timers::after(units::Duration delay, Function function)
{
    return at(clock_.now() + delay, std::move(function));
}

void Timers::cancel(Handle &handle)
{
    if (handle.id_ != 0)
        scheduled_.erase({handle.at_, handle.id_});
    handle = {};
}

void Timers::arm()
{
    if (scheduled_.empty() || scheduled_.begin()->first.first >= armedFor_)
        return;
    const units::TimePoint now = clock_.now();
    const units::Duration wanted = scheduled_.begin()->first.first - now;
    const auto sleep = std::clamp<units::Duration>(wanted, units::Duration::zero(), MaxSleep);
    armedFor_ = now + sleep;
    timer_.expires_after(std::chrono::duration_cast<std::chrono::steady_clock::duration>(sleep));
    timer_.async_wait([this](const asio::error_code &error) {
        if (!error)
            runDue();
    });
}

void Timers::runDue()
{
    armedFor_ = units::TimePoint::max();
    const units::TimePoint now = clock_.now();
    while (!scheduled_.empty() && scheduled_.begin()->first.first <= now) {
        const Function function = std::move(scheduled_.begin()->second);
        scheduled_.erase(scheduled_.begin());
        function();
    }
    arm();
}

} // namespace monsoongrade::httpio
