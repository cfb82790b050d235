#ifndef MONSOONGRADE_SCHEDULING_SLOTASK_H
#define MONSOONGRADE_SCHEDULING_SLOTASK_H

#include <monsoongrade/units/clock.h>
#include <monsoongrade/units/ids.h>

#include <optional>
#include <vector>

namespace monsoongrade::scheduling {

// A router's ask for one place on some endpoint of a pool.
struct SlotAsk
{
    units::RequestId request;
    units::DaemonId router;
    units::PoolName pool;
    units::ClassName className;
    units::WorkspaceName workspace;
    units::PrefixHash prefix;
    // Time since the request arrived at the router. Sent as a length, since clocks of two hosts
    // can't be compared.
    units::Duration waited{};
    // How long its caller stays, counted from when the request arrived at the router, if the
    // caller said so. An answer that would end later is made for nobody.
    std::optional<units::Duration> patience;
    // Endpoints that failed this request before; avoided while another one lives.
    std::vector<units::EndpointId> avoid;
};

} // namespace monsoongrade::scheduling

#endif // MONSOONGRADE_SCHEDULING_SLOTASK_H
