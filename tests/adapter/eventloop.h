#ifndef MONSOONGRADE_TESTS_ADAPTER_EVENTLOOP_H
#define MONSOONGRADE_TESTS_ADAPTER_EVENTLOOP_H

#include <monsoongrade/httpio/timers.h>
#include <monsoongrade/units/bootclock.h>

#include <asio/io_context.hpp>

#include <chrono>

namespace monsoongrade::platform {

// A clock that can jump ahead, as the boot clock does when the host was suspended.
class JumpingClock : public units::Clock
{
public:
    units::TimePoint now() const override { return clock_.now() + ahead_; }
    void jump(units::Duration duration) { ahead_ += duration; }

private:
    units::BootClock clock_;
    units::Duration ahead_{};
};

// Runs everything of a test in its thread.
class EventLoop
{
public:
    // Returns false if the condition does not hold within the limit.
    template <typename Predicate>
    bool runUntil(Predicate &&isDone, std::chrono::milliseconds limit = std::chrono::seconds(4))
    {
        const auto end = std::chrono::steady_clock::now() + limit;
        while (!isDone()) {
            if (std::chrono::steady_clock::now() >= end)
                return false;
            io.run_one_for(std::chrono::milliseconds(5));
            io.restart();
        }
        return true;
    }
    void runFor(std::chrono::milliseconds time)
    {
        runUntil([] { return false; }, time);
    }

    JumpingClock clock;
    asio::io_context io;
    httpio::Timers timers{io, clock};
};

} // namespace monsoongrade::platform

#endif // MONSOONGRADE_TESTS_ADAPTER_EVENTLOOP_H
