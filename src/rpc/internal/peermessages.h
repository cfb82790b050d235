#ifndef MONSOONGRADE_SRC_RPC_INTERNAL_PEERMESSAGES_H
#define MONSOONGRADE_SRC_RPC_INTERNAL_PEERMESSAGES_H

#include <monsoongrade/membership/peermessage.h>
#include <monsoongrade/units/result.h>

#include <peer.capnp.h>

namespace monsoongrade::rpc::internal {

void write(schema::PeerNews::Builder out, const membership::PeerMessage &message);

// Error: PeerMessageMalformed where a number or size is out of range; nothing of such a message
// is used.
units::Result<membership::PeerMessage> read(schema::PeerNews::Reader in);

} // namespace monsoongrade::rpc::internal

#endif // MONSOONGRADE_SRC_RPC_INTERNAL_PEERMESSAGES_H
