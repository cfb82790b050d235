#ifndef MONSOONGRADE_RPC_PEERSERVER_H
#define MONSOONGRADE_RPC_PEERSERVER_H

#include <monsoongrade/configuration/configurationcontents.h>
#include <monsoongrade/membership/membership.h>
#include <monsoongrade/requests/keyholderclient.h>
#include <monsoongrade/rpc/peerclient.h>

#include <functional>

namespace monsoongrade::rpc {

// Runs this daemon's side of the membership protocol on the RPC loop and answers other daemons:
// on a listener of its own, or through another one that hands it out.
class PeerServer
{
public:
    PeerServer(RpcLoop &loop, const PeerSettings &settings, PeerClient &client,
               membership::Membership &membership, configuration::ConfigurationContents &contents);
    ~PeerServer();

    using KeyAnswerer = std::function<void(const requests::HolderQuestion &,
                                           const requests::KeyHolderClient::ReplyHandler &)>;
    // Answers other routers' questions about idempotency keys from now on; an empty function
    // ends that. When it returns, no earlier function is running.
    void answerKeysWith(KeyAnswerer answerer);

    class Impl;
    // For listeners within this part.
    const std::shared_ptr<Impl> &impl() const { return impl_; }

private:
    RpcLoop &loop_;
    std::shared_ptr<Impl> impl_;
};

} // namespace monsoongrade::rpc

#endif // MONSOONGRADE_RPC_PEERSERVER_H
