#include <monsoongrade/membership/membershipprotocol.h>

namespace monsoongrade::membership {

namespace {

constexpr std::size_t Buckets = 16;
// How long the dead still count when two daemons compare what they know. They forget them at
// different moments, and would otherwise repair each other without end.
constexpr auto DeadCountFor = std::chrono::seconds(60);

std::size_t bucketOf(const MemberId &id)
{
    return stableHash(id, "bucket") % Buckets;
}

std::size_t bucketOf(const units::HostName &host)
{
    return bucketOf(MemberId{host, DaemonRole::Router});
}

std::uint64_t mixed(std::uint64_t hash, std::uint64_t value)
{
    hash = (hash ^ value) * 0xff51afd7ed558ccdULL;
    return hash ^ (hash >> 33);
}

std::uint64_t hashOf(const MemberRecord &record)
{
    std::uint64_t hash = mixed(stableHash(record.id, "digest"), record.life);
    hash = mixed(hash, record.refutation);
    return mixed(hash, static_cast<std::uint64_t>(record.health) * 2 + (record.leaving ? 1 : 0));
}

std::uint64_t hashOf(const EndpointMark &mark)
{
    const std::uint64_t hash
        = mixed(stableHash({mark.host, DaemonRole::Router}, "mark"), mark.epoch);
    return mixed(hash, static_cast<std::uint64_t>(mark.state));
}

} // namespace

// A member known from the list only is left out: lists lag differently, so it says nothing.
bool MembershipProtocol::countsInDigest(const Entry &entry) const
{
    if (entry.record.health != Health::Dead)
        return entry.record.life != 0;
    return entry.record.life != 0 && clock_.now() - entry.healthSince < DeadCountFor;
}

std::vector<std::uint64_t> MembershipProtocol::bucketDigests() const
{
    std::vector<std::uint64_t> digests(Buckets, 0);
    digests[bucketOf(self_.id)] ^= hashOf(self_);
    for (const auto &[id, entry] : entries_) {
        if (countsInDigest(entry))
            digests[bucketOf(id)] ^= hashOf(entry.record);
    }
    for (const auto &[host, mark] : marks_.all())
        digests[bucketOf(host)] ^= hashOf(mark);
    return digests;
}

std::uint64_t MembershipProtocol::digest() const
{
    if (digestRevision_ != revision_ || clock_.now() >= digestExpires_) {
        digest_ = 0;
        for (const std::uint64_t bucket : bucketDigests())
            digest_ ^= bucket;
        digestRevision_ = revision_;
        digestExpires_ = clock_.now() + std::chrono::seconds(1);
    }
    return digest_;
}

void MembershipProtocol::addBuckets(PeerMessage &message) const
{
    const auto covered = [&message](std::size_t bucket) {
        return (message.buckets & (1U << bucket)) != 0;
    };
    for (const auto &[id, entry] : entries_) {
        if (covered(bucketOf(id)) && countsInDigest(entry))
            message.members.push_back(entry.record);
    }
    for (const auto &[host, mark] : marks_.all()) {
        if (covered(bucketOf(host)))
            message.endpoints.push_back(mark);
    }
}

} // namespace monsoongrade::membership
