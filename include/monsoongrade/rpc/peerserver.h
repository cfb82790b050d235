#ifndef MONSOONGRADE_RPC_PEERSERVER_H
#define MONSOONGRADE_RPC_PEERSERVER_H

#include <monsoongrade/configuration/configurationcontents.h>
#include <monsoongrade/membership/membership.h>
#include <monsoongrade/rpc/peerclient.h>

namespace monsoongrade::rpc {

// Runs this daemon's side of the membership protocol on the RPC loop and answers other daemons:
// on a listener of its own, or through another one that hands it out.
class PeerServer
{
public:
    PeerServer(RpcLoop &loop, const PeerSettings &settings, PeerClient &client,
               membership::Membership &membership, configuration::ConfigurationContents &contents);
    ~PeerServer();

    class Impl;
    // For listeners within this part.
    const std::shared_ptr<Impl> &impl() const { return impl_; }

private:
    RpcLoop &loop_;
    std::shared_ptr<Impl> impl_;
};

} // namespace monsoongrade::rpc

#endif // MONSOONGRADE_RPC_PEERSERVER_H
