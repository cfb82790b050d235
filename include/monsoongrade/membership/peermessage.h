#ifndef MONSOONGRADE_MEMBERSHIP_PEERMESSAGE_H
#define MONSOONGRADE_MEMBERSHIP_PEERMESSAGE_H

#include <monsoongrade/membership/endpointmark.h>
#include <monsoongrade/membership/memberrecord.h>

#include <vector>

namespace monsoongrade::membership {

enum class PeerMessageKind : std::uint8_t {
    Ping,
    Ack,
    // Asks the receiver to ping the first of `members` on the sender's behalf.
    PingRequest,
    // Tells that the member asked about has answered.
    IndirectAck,
    // News only; not answered.
    Gossip,
    // All records of the named buckets; the answer holds what the receiver knows better.
    SyncRequest,
    SyncAnswer
};

// One message between daemons. May be lost, repeated, late or overtaken by another.
struct PeerMessage
{
    PeerMessageKind kind = PeerMessageKind::Gossip;
    MemberRecord from;
    std::uint64_t sequence = 0;
    // Of the configuration in force at the sender.
    units::Generation generation;
    // Over all that the sender knows; equal digests mean equal knowledge.
    std::uint64_t digest = 0;
    // In an Ack to a sender of another digest: one digest a bucket.
    std::vector<std::uint64_t> bucketDigests;
    // Bit set of the buckets that a sync covers.
    std::uint32_t buckets = 0;
    std::vector<MemberRecord> members;
    std::vector<EndpointMark> endpoints;
};

// A message to be sent, and where to.
struct OutgoingMessage
{
    MemberId to;
    std::string address;
    PeerMessage message;
};

} // namespace monsoongrade::membership

#endif // MONSOONGRADE_MEMBERSHIP_PEERMESSAGE_H
