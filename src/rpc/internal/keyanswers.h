#ifndef MONSOONGRADE_SRC_RPC_INTERNAL_KEYANSWERS_H
#define MONSOONGRADE_SRC_RPC_INTERNAL_KEYANSWERS_H

#include <monsoongrade/requests/keyholderclient.h>
#include <monsoongrade/rpc/peerserver.h>
#include <monsoongrade/rpc/rpcloop.h>

#include <kj/async.h>

#include <map>
#include <memory>

namespace monsoongrade::rpc::internal {

// The questions about idempotency keys that wait for this router's answer. An answer comes from
// whichever thread ends the run; the waiting calls belong to the RPC loop's thread, so only their
// numbers are handed out. On the loop's thread only.
class KeyAnswers : public std::enable_shared_from_this<KeyAnswers>
{
public:
    KeyAnswers(RpcLoop &loop, units::DaemonId self);

    void setAnswerer(PeerServer::KeyAnswerer answerer) { answerer_ = std::move(answerer); }
    kj::Promise<requests::HolderReply> ask(const requests::HolderQuestion &question);

private:
    RpcLoop &loop_;
    units::DaemonId self_;
    PeerServer::KeyAnswerer answerer_;
    std::map<std::uint64_t, kj::Own<kj::PromiseFulfiller<requests::HolderReply>>> waiting_;
    std::uint64_t nextNumber_ = 1;
};

} // namespace monsoongrade::rpc::internal

#endif // MONSOONGRADE_SRC_RPC_INTERNAL_KEYANSWERS_H
