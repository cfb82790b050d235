#ifndef MONSOONGRADE_SRC_RPC_INTERNAL_KEYMESSAGES_H
#define MONSOONGRADE_SRC_RPC_INTERNAL_KEYMESSAGES_H

#include <monsoongrade/requests/keyholderclient.h>

#include <peer.capnp.h>

namespace monsoongrade::rpc::internal {

void write(schema::KeyQuestion::Builder out, const requests::HolderQuestion &question);
requests::HolderQuestion read(schema::KeyQuestion::Reader in);

void write(schema::KeyReply::Builder out, const requests::HolderReply &reply);
// A kind that is not known here counts as Unreachable: the outcome is then unknown, which is
// always true, and nothing runs.
requests::HolderReply read(schema::KeyReply::Reader in);

} // namespace monsoongrade::rpc::internal

#endif // MONSOONGRADE_SRC_RPC_INTERNAL_KEYMESSAGES_H
