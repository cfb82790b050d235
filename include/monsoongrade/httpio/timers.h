#ifndef MONSOONGRADE_HTTPIO_TIMERS_H
#define MONSOONGRADE_HTTPIO_TIMERS_H

#include <monsoongrade/units/clock.h>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace monsoongrade::httpio {

// Runs functions at given times of the clock, on the io_context's thread. All deadlines share one
// system timer, which fires at least every MaxSleep: the system timer does not count time during
// which the host is suspended, so a longer sleep would delay deadlines after a resume by the
// length of the suspension.
class Timers
{
public:
    using Function = std::function<void()>;

    // Identifies one scheduled function; a default-constructed handle identifies none.
    class Handle
    {
        friend class Timers;
        units::TimePoint at_;
        std::uint64_t id_ = 0;
    };

    Timers(asio::io_context &io, const units::Clock &clock);

    Handle at(units::TimePoint when, Function function);
    Handle after(units::Duration delay, Function function);
    // Does nothing if the function has run, was cancelled, or the handle identifies none. Clears
    // the handle.
    void cancel(Handle &handle);
    units::TimePoint now() const { return clock_.now(); }

private:
    static constexpr auto MaxSleep = std::chrono::milliseconds(100);

    void arm();
    void runDue();

    asio::steady_timer timer_;
    const units::Clock &clock_;
    std::map<std::pair<units::TimePoint, std::uint64_t>, Function> scheduled_;
    std::uint64_t lastId_ = 0;
    units::TimePoint armedFor_ = units::TimePoint::max();
};

} // namespace monsoongrade::httpio

#endif // MONSOONGRADE_HTTPIO_TIMERS_H
