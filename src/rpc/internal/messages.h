#ifndef MONSOONGRADE_SRC_RPC_INTERNAL_MESSAGES_H
#define MONSOONGRADE_SRC_RPC_INTERNAL_MESSAGES_H

#include <rpc/internal/cell.h>

#include <monsoongrade/scheduling/slotask.h>
#include <monsoongrade/scheduling/slotrelease.h>

#include <monsoongrade.capnp.h>

namespace monsoongrade::rpc::internal {

// Between the schema's messages and the typed ones. What a peer sends is checked here: numbers
// out of range become the nearest valid ones.
void write(schema::SlotAsk::Builder out, const scheduling::SlotAsk &ask);
scheduling::SlotAsk read(schema::SlotAsk::Reader in, const units::DaemonId &router);

void write(schema::SlotRelease::Builder out, const scheduling::SlotRelease &release);
scheduling::SlotRelease read(schema::SlotRelease::Reader in);

void write(schema::SlotDecision::Builder out, const SlotOutcome &outcome);

} // namespace monsoongrade::rpc::internal

#endif // MONSOONGRADE_SRC_RPC_INTERNAL_MESSAGES_H
