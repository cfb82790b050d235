#ifndef MONSOONGRADE_SRC_GATEWAY_INTERNAL_GOSSIPMESSAGES_H
#define MONSOONGRADE_SRC_GATEWAY_INTERNAL_GOSSIPMESSAGES_H

#include <monsoongrade/routing/crashupdate.h>
#include <monsoongrade/routing/leavingupdate.h>
#include <monsoongrade/routing/peertable.h>
#include <monsoongrade/routing/ratelimitupdate.h>

#include <gossip.capnp.h>

#include <optional>

namespace monsoongrade::gateway::internal {

// Encode and decode the parts of a gossip datagram. Decoding returns nullopt for values that only a
// newer version knows.

void encodePeer(schema::GossipPeer::Builder peer, const routing::PeerUpdate &update);
std::optional<routing::PeerUpdate> decodePeer(schema::GossipPeer::Reader peer);

void encodeCrash(schema::CrashNews::Builder crash, const routing::CrashUpdate &update);
std::optional<routing::CrashUpdate> decodeCrash(schema::CrashNews::Reader crash);

void encodeLimit(schema::LimitNews::Builder limit, const routing::RateLimitUpdate &update);
std::optional<routing::RateLimitUpdate> decodeLimit(schema::LimitNews::Reader limit);

void encodeLeaving(schema::LeavingNews::Builder leaving, const routing::LeavingUpdate &update);
routing::LeavingUpdate decodeLeaving(schema::LeavingNews::Reader leaving);

} // namespace monsoongrade::gateway::internal

#endif // MONSOONGRADE_SRC_GATEWAY_INTERNAL_GOSSIPMESSAGES_H
