#ifndef MONSOONGRADE_DUTIES_USAGEWINDOW_H
#define MONSOONGRADE_DUTIES_USAGEWINDOW_H

#include <monsoongrade/duties/walltimeestimate.h>
#include <monsoongrade/units/ids.h>
#include <monsoongrade/units/strongnumber.h>

#include <cstdint>
#include <map>

namespace monsoongrade::duties {

// Numbers the spans of time for which usage is reported; the first began with 1970.
using WindowNumber = units::StrongNumber<struct WindowNumberTag, std::int64_t>;

// Requests of each workspace that began to run in one window.
using UsageCounts = std::map<units::WorkspaceName, std::uint64_t>;

// The windows that the platform asks for.
struct UsageWindows
{
    units::Duration length; // of one window
    units::Duration dueWithin; // after a window's end, its report is due

    WindowNumber windowAt(WallTime time) const
    {
        return WindowNumber(time.time_since_epoch() / length);
    }
    WallTime endOf(WindowNumber window) const { return WallTime((window.value() + 1) * length); }
};

} // namespace monsoongrade::duties

#endif // MONSOONGRADE_DUTIES_USAGEWINDOW_H
