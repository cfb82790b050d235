#ifndef MONSOONGRADE_SCHEDULING_SLOTRELEASE_H
#define MONSOONGRADE_SCHEDULING_SLOTRELEASE_H

#include <monsoongrade/units/clock.h>
#include <monsoongrade/units/ids.h>

namespace monsoongrade::scheduling {

enum class ReleaseOutcome {
    Completed,
    CallerLeft,
    NotRun,
    EndpointFailed,
};

// Gives a slot back and says what it was used for.
struct SlotRelease
{
    units::GrantId grant;
    units::TokenCount tokens;
    units::Duration held{};
    ReleaseOutcome outcome = ReleaseOutcome::Completed;
};

} // namespace monsoongrade::scheduling

#endif // MONSOONGRADE_SCHEDULING_SLOTRELEASE_H
