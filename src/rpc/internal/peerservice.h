#ifndef MONSOONGRADE_SRC_RPC_INTERNAL_PEERSERVICE_H
#define MONSOONGRADE_SRC_RPC_INTERNAL_PEERSERVICE_H

#include <monsoongrade/rpc/peerserver.h>

#include <peer.capnp.h>

namespace monsoongrade::rpc::internal {

// The server's Peer service, for a listener to hand out with hello. On the RPC loop's thread
// only.
schema::Peer::Client peerService(PeerServer &server);

} // namespace monsoongrade::rpc::internal

#endif // MONSOONGRADE_SRC_RPC_INTERNAL_PEERSERVICE_H
