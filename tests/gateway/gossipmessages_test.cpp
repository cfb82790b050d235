#include <gateway/internal/gossipmessages.h>

#include <capnp/message.h>
#include <doctest/doctest.h>

using namespace monsoongrade;

// Guards against a host that ends when it wants to read from, or forward to, such an address.
TEST_CASE("GossipMessages.PeerWhoseAddressIsNoIpIsIgnored")
{
    for (const std::string ip :
         {"", "nowhere", "127.0.0.256", "127.0.0.1:9", "::1", "127.0.0.1\n", " 127.0.0.1"}) {
        CAPTURE(ip);
        capnp::MallocMessageBuilder message;
        routing::PeerUpdate update;
        update.ip = ip;
        const auto peer = message.initRoot<schema::GossipPeer>();
        gateway::internal::encodePeer(peer, update);
        CHECK_FALSE(gateway::internal::decodePeer(peer.asReader()));
    }
}
