#ifndef MONSOONGRADE_RPC_RPCKEYHOLDERS_H
#define MONSOONGRADE_RPC_RPCKEYHOLDERS_H

#include <monsoongrade/membership/membership.h>
#include <monsoongrade/requests/keyholderclient.h>
#include <monsoongrade/rpc/peerclient.h>

namespace monsoongrade::rpc {

// Asks the router that holds a key over RPC. Where its host is not known the holder counts as
// unreachable, and the outcome of the key as unknown.
class RpcKeyHolders : public requests::KeyHolderClient
{
public:
    RpcKeyHolders(RpcLoop &loop, PeerClient &client, membership::Membership &membership);

    void ask(const requests::HolderQuestion &question, ReplyHandler reply) override;

private:
    RpcLoop &loop_;
    PeerClient &client_;
    membership::Membership &membership_;
};

} // namespace monsoongrade::rpc

#endif // MONSOONGRADE_RPC_RPCKEYHOLDERS_H
