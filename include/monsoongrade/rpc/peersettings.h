#ifndef MONSOONGRADE_RPC_PEERSETTINGS_H
#define MONSOONGRADE_RPC_PEERSETTINGS_H

#include <monsoongrade/units/ids.h>

#include <cstdint>
#include <string>

namespace monsoongrade::rpc {

struct PeerSettings
{
    units::ClusterName cluster;
    units::DaemonId self;
    // Where the Peer service listens; port 0 where another listener hands it out.
    std::string address;
    std::uint16_t port = 0;
    // The same on all hosts of the cluster.
    std::uint16_t routerPort = 0;
    std::uint16_t schedulerPort = 0;
};

} // namespace monsoongrade::rpc

#endif // MONSOONGRADE_RPC_PEERSETTINGS_H
