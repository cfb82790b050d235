#ifndef MONSOONGRADE_SRC_RPC_INTERNAL_ROUTERID_H
#define MONSOONGRADE_SRC_RPC_INTERNAL_ROUTERID_H

#include <monsoongrade/units/ids.h>

namespace monsoongrade::rpc::internal {

// True for every life of the host's router: a router's id begins with its host's name and its
// role.
bool isRouterOf(const units::HostName &host, const units::DaemonId &router);

} // namespace monsoongrade::rpc::internal

#endif // MONSOONGRADE_SRC_RPC_INTERNAL_ROUTERID_H
