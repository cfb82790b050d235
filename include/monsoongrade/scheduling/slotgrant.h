#ifndef MONSOONGRADE_SCHEDULING_SLOTGRANT_H
#define MONSOONGRADE_SCHEDULING_SLOTGRANT_H

#include <monsoongrade/units/ids.h>

namespace monsoongrade::scheduling {

// The right to run one request on one endpoint until it is released.
struct SlotGrant
{
    units::GrantId id;
    units::RequestId request;
    units::DaemonId router;
    units::EndpointId endpoint;
    // The ask of a higher tier that was next by order, if this is a guaranteed grant of a lower
    // tier; else empty.
    units::RequestId passedOver = {};
};

} // namespace monsoongrade::scheduling

#endif // MONSOONGRADE_SCHEDULING_SLOTGRANT_H
