#include <rpc/internal/peerconnection.h>

namespace monsoongrade::rpc::internal {

PeerConnection::PeerConnection(RpcLoop &loop, const PeerSettings &settings,
                               const std::string &address, std::uint16_t port)
    : peer_(connect(loop, settings, address, port))
{
}

schema::Peer::Client PeerConnection::connect(RpcLoop &loop, const PeerSettings &settings,
                                             const std::string &address, std::uint16_t port)
{
    auto parsed = loop.io().getNetwork().parseAddress(address, port);
    return parsed
        .then([](kj::Own<kj::NetworkAddress> target) {
            return target->connect().attach(kj::mv(target));
        })
        .then([transport = transport_,
               settings](kj::Own<kj::AsyncIoStream> stream) -> schema::Peer::Client {
            *transport = kj::heap<Transport>(kj::mv(stream));
            auto daemon = (*transport)->client.bootstrap().castAs<schema::Daemon>();
            auto hello = daemon.helloRequest();
            hello.setCluster(settings.cluster.value());
            hello.setVersion(schema::PROTOCOL_VERSION);
            hello.setDaemon(settings.self.value());
            return hello.send().getResult().getPeer();
        });
}

} // namespace monsoongrade::rpc::internal
