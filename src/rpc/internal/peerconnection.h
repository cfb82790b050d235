#ifndef MONSOONGRADE_SRC_RPC_INTERNAL_PEERCONNECTION_H
#define MONSOONGRADE_SRC_RPC_INTERNAL_PEERCONNECTION_H

#include <monsoongrade/rpc/peersettings.h>
#include <monsoongrade/rpc/rpcloop.h>

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>
#include <monsoongrade.capnp.h>

#include <memory>
#include <string>

namespace monsoongrade::rpc::internal {

// One connection to the Peer service of one daemon. On the RPC loop's thread only.
class PeerConnection
{
public:
    PeerConnection(RpcLoop &loop, const PeerSettings &settings, const std::string &address,
                   std::uint16_t port);

    // Usable at once: calls wait until hello was answered, and fail if it was refused.
    schema::Peer::Client peer() { return peer_; }

private:
    struct Transport
    {
        explicit Transport(kj::Own<kj::AsyncIoStream> connected)
            : stream(kj::mv(connected))
            , client(*stream)
        {
        }
        kj::Own<kj::AsyncIoStream> stream;
        capnp::TwoPartyClient client;
    };

    schema::Peer::Client connect(RpcLoop &loop, const PeerSettings &settings,
                                 const std::string &address, std::uint16_t port);

    // Outlives this object while connecting goes on: calls may still wait for it.
    std::shared_ptr<kj::Own<Transport>> transport_ = std::make_shared<kj::Own<Transport>>();
    schema::Peer::Client peer_;
};

} // namespace monsoongrade::rpc::internal

#endif // MONSOONGRADE_SRC_RPC_INTERNAL_PEERCONNECTION_H
