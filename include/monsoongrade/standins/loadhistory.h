#ifndef MONSOONGRADE_STANDINS_LOADHISTORY_H
#define MONSOONGRADE_STANDINS_LOADHISTORY_H

#include <monsoongrade/units/clock.h>

#include <cstdint>
#include <deque>

namespace monsoongrade::standins {

struct EngineLoad
{
    std::size_t running = 0;
    std::size_t waiting = 0;
    // Since the start.
    std::int64_t tokensMade = 0;
    bool draining = false;
};

// Keeps an engine's load of the last minute, so that a report can be as late as a real one's.
// Not thread-safe.
class LoadHistory
{
public:
    void add(units::TimePoint now, const EngineLoad &load);
    // As it was at that time; the oldest that is kept where none is so old.
    EngineLoad at(units::TimePoint time) const;

private:
    struct Entry
    {
        units::TimePoint time;
        EngineLoad load;
    };
    std::deque<Entry> entries_;
};

} // namespace monsoongrade::standins

#endif // MONSOONGRADE_STANDINS_LOADHISTORY_H
