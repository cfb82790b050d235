#ifndef MONSOONGRADE_DUTIES_USAGEWINDOW_H
#define MONSOONGRADE_DUTIES_USAGEWINDOW_H

#include <monsoongrade/duties/walltimeestimate.h>
#include <monsoongrade/units/ids.h>
#include <monsoongrade/units/strongnumber.h>

#include <cstdint>
#include <map>

namespace monsoongrade::duties {

// Number of a reporting window; window 0 starts at the Unix epoch.
using WindowNumber = units::StrongNumber<struct WindowNumberTag, std::int64_t>;

// Requests started in one window, by workspace.
using UsageCounts = std::map<units::WorkspaceName, std::uint64_t>;

// The reporting windows of the platform.
struct UsageWindows
{
    units::Duration length; // of a window
    units::Duration dueWithin; // deadline of a report, measured from the window's end

    WindowNumber windowAt(WallTime time) const
    {
        return WindowNumber(time.time_since_epoch() / length);
    }
    WallTime endOf(WindowNumber window) const { return WallTime((window.value() + 1) * length); }
};

} // namespace monsoongrade::duties

#endif // MONSOONGRADE_DUTIES_USAGEWINDOW_H
