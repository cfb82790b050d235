#ifndef MONSOONGRADE_TIMING_DELAYER_H
#define MONSOONGRADE_TIMING_DELAYER_H

#include <monsoongrade/units/clock.h>

#include <functional>

namespace monsoongrade::timing {

// Runs a function later. Thread-safe; never runs it from within after().
class Delayer
{
public:
    virtual ~Delayer() = default;
    virtual void after(units::Duration delay, std::function<void()> function) = 0;
};

} // namespace monsoongrade::timing

#endif // MONSOONGRADE_TIMING_DELAYER_H
