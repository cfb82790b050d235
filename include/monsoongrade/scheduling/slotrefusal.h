#ifndef MONSOONGRADE_SCHEDULING_SLOTREFUSAL_H
#define MONSOONGRADE_SCHEDULING_SLOTREFUSAL_H

#include <monsoongrade/units/clock.h>
#include <monsoongrade/units/ids.h>
#include <monsoongrade/units/resultcode.h>

namespace monsoongrade::scheduling {

// The final answer to an ask that gets no slot.
struct SlotRefusal
{
    units::RequestId request;
    units::ResultCode code = units::ResultCode::QueueFull;
    // When a new attempt has a chance; counted from now.
    units::Duration retryAfter{};
};

} // namespace monsoongrade::scheduling

#endif // MONSOONGRADE_SCHEDULING_SLOTREFUSAL_H
