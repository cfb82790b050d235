#include <rpc/internal/peermessages.h>

namespace monsoongrade::rpc::internal {

namespace {

using membership::DaemonRole;
using membership::EndpointState;
using membership::Health;
using membership::MemberRecord;
using membership::PeerMessage;
using membership::PeerMessageKind;

constexpr unsigned MaxItems = 8192;
constexpr unsigned MaxTextBytes = 256;

void writeMember(schema::PeerMember::Builder out, const MemberRecord &record)
{
    out.setHost(record.id.host.value());
    out.setAddress(record.address);
    out.setFailureDomain(record.failureDomain.value());
    out.setLife(record.life);
    out.setRefutation(record.refutation);
    out.setRole(static_cast<std::uint8_t>(record.id.role));
    out.setHealth(static_cast<std::uint8_t>(record.health));
    out.setLeaving(record.leaving);
}

bool isValid(schema::PeerMember::Reader in)
{
    return in.getRole() <= static_cast<int>(DaemonRole::Scheduler)
        && in.getHealth() <= static_cast<int>(Health::Dead) && in.getHost().size() > 0
        && in.getHost().size() <= MaxTextBytes && in.getAddress().size() <= MaxTextBytes
        && in.getFailureDomain().size() <= MaxTextBytes;
}

MemberRecord readMember(schema::PeerMember::Reader in)
{
    MemberRecord record;
    record.id = {units::HostName(in.getHost()), static_cast<DaemonRole>(in.getRole())};
    record.address = in.getAddress();
    record.failureDomain = units::FailureDomain(in.getFailureDomain());
    record.life = in.getLife();
    record.refutation = in.getRefutation();
    record.health = static_cast<Health>(in.getHealth());
    record.leaving = in.getLeaving();
    return record;
}

bool isValid(schema::PeerEndpointMark::Reader in)
{
    return in.getState() <= static_cast<int>(EndpointState::Leaving) && in.getHost().size() > 0
        && in.getHost().size() <= MaxTextBytes;
}

bool isValid(schema::PeerNews::Reader in)
{
    if (in.getKind() > static_cast<int>(PeerMessageKind::SyncAnswer) || !isValid(in.getFrom())
        || in.getMembers().size() > MaxItems || in.getEndpoints().size() > MaxItems
        || in.getBucketDigests().size() > MaxItems)
        return false;
    for (const auto member : in.getMembers()) {
        if (!isValid(member))
            return false;
    }
    for (const auto mark : in.getEndpoints()) {
        if (!isValid(mark))
            return false;
    }
    return true;
}

} // namespace

void write(schema::PeerNews::Builder out, const PeerMessage &message)
{
    out.setKind(static_cast<std::uint8_t>(message.kind));
    writeMember(out.initFrom(), message.from);
    out.setSequence(message.sequence);
    out.setGeneration(message.generation.value());
    out.setDigest(message.digest);
    out.setBuckets(message.buckets);
    if (!message.bucketDigests.empty()) {
        auto digests = out.initBucketDigests(static_cast<unsigned>(message.bucketDigests.size()));
        for (unsigned i = 0; i < digests.size(); ++i)
            digests.set(i, message.bucketDigests[i]);
    }
    if (!message.members.empty()) {
        auto members = out.initMembers(static_cast<unsigned>(message.members.size()));
        for (unsigned i = 0; i < members.size(); ++i)
            writeMember(members[i], message.members[i]);
    }
    if (message.endpoints.empty())
        return;
    auto marks = out.initEndpoints(static_cast<unsigned>(message.endpoints.size()));
    for (unsigned i = 0; i < marks.size(); ++i) {
        marks[i].setHost(message.endpoints[i].host.value());
        marks[i].setEpoch(message.endpoints[i].epoch);
        marks[i].setState(static_cast<std::uint8_t>(message.endpoints[i].state));
    }
}

units::Result<PeerMessage> read(schema::PeerNews::Reader in)
{
    if (!isValid(in))
        return units::fail(units::ResultCode::PeerMessageMalformed,
                           "a peer's message has a number or size out of range");
    PeerMessage message;
    message.kind = static_cast<PeerMessageKind>(in.getKind());
    message.from = readMember(in.getFrom());
    message.sequence = in.getSequence();
    message.generation = units::Generation(in.getGeneration());
    message.digest = in.getDigest();
    message.buckets = in.getBuckets();
    for (const std::uint64_t digest : in.getBucketDigests())
        message.bucketDigests.push_back(digest);
    for (const auto member : in.getMembers())
        message.members.push_back(readMember(member));
    for (const auto mark : in.getEndpoints())
        message.endpoints.push_back({units::HostName(mark.getHost()), mark.getEpoch(),
                                     static_cast<EndpointState>(mark.getState())});
    return message;
}

} // namespace monsoongrade::rpc::internal
