#include <monsoongrade/httpio/timers.h>

#include <monsoongrade/units/manualclock.h>

#include <doctest/doctest.h>

#include <vector>

using namespace monsoongrade;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("Timers.RunInOrderOfTimeAndNotAfterCancellation")
{
    asio::io_context io;
    units::ManualClock clock;
    httpio::Timers timers(io, clock);
    std::vector<int> ran;
    timers.after(milliseconds(20), [&] { ran.push_back(2); });
    timers.after(milliseconds(10), [&] { ran.push_back(1); });
    auto cancelled = timers.after(milliseconds(15), [&] { ran.push_back(3); });
    timers.cancel(cancelled);
    clock.advance(milliseconds(30));
    io.run_for(milliseconds(100));
    CHECK(ran == std::vector<int>{1, 2});
}

TEST_CASE("Timers.SuspensionDoesNotDelayADeadline")
{
    // The host is suspended for ten seconds, which the system timer does not count. A deadline of
    // five seconds must run within MaxSleep after the resume, not five seconds later.
    asio::io_context io;
    units::ManualClock clock;
    httpio::Timers timers(io, clock);
    bool hasRun = false;
    timers.after(seconds(5), [&] { hasRun = true; });
    io.run_for(milliseconds(10));
    clock.advance(seconds(10));
    io.restart();
    io.run_for(milliseconds(250));
    CHECK(hasRun);
}
