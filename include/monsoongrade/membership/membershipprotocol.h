#ifndef MONSOONGRADE_MEMBERSHIP_MEMBERSHIPPROTOCOL_H
#define MONSOONGRADE_MEMBERSHIP_MEMBERSHIPPROTOCOL_H

#include <monsoongrade/membership/endpointmarks.h>
#include <monsoongrade/membership/fleetview.h>
#include <monsoongrade/membership/newsqueue.h>
#include <monsoongrade/membership/peermessage.h>
#include <monsoongrade/membership/protocolsettings.h>

#include <map>
#include <optional>
#include <random>

namespace monsoongrade::membership {

// One daemon's side of the membership protocol: whom to probe, whom to suspect, which news to
// pass on. Decisions only: messages are handed in and out, time comes from the clock. Not
// thread-safe.
class MembershipProtocol
{
public:
    using Outgoing = std::vector<OutgoingMessage>;

    // Counts of what has happened since the start.
    struct Counters
    {
        std::uint64_t probes = 0;
        std::uint64_t suspicions = 0;
        std::uint64_t deaths = 0;
        std::uint64_t refutations = 0;
        std::uint64_t pauses = 0;
        std::uint64_t syncs = 0;
    };

    // self.life is the start time of this process.
    MembershipProtocol(const units::Clock &clock, MemberRecord self,
                       const ProtocolSettings &settings, std::uint32_t seed);

    // Call it every 50 ms or so.
    Outgoing tick();
    Outgoing receive(const PeerMessage &message);

    // Takes over one answer of the platform's lagging list: members not yet known, and marks of
    // endpoint hosts. What members say of themselves goes before the list.
    void applyList(const std::vector<platform::Host> &hosts);
    // Within what time of the last read the list should be read; depends on how many read it.
    units::Duration nextListRead() const;
    // A member known by other means, such as the daemon beside this one.
    void addSeed(const MemberRecord &seed);
    // This daemon takes no new work any more. Tells all within about a second.
    void leave();
    void setGeneration(units::Generation inForce);
    void setEndpointSuspected(const units::HostName &host, bool suspected);

    // A member that has a newer configuration in force than this daemon.
    std::optional<MemberRecord> newerConfigurationAt() const;

    FleetView view() const;
    const EndpointMarks &marks() const { return marks_; }
    // Changes whenever the view may have.
    std::uint64_t revision() const { return revision_; }
    const MemberRecord &self() const { return self_; }
    // Another process with this daemon's id and a later start is at work; this one must not
    // count itself in any more.
    bool isSuperseded() const { return superseded_; }
    const MemberRecord *find(const MemberId &id) const;
    // Without this daemon itself.
    std::vector<MemberRecord> members() const;
    const Counters &counters() const { return counters_; }

private:
    struct Entry
    {
        MemberRecord record;
        units::TimePoint healthSince;
        bool listed = false;
    };
    struct Probe
    {
        MemberId target;
        units::TimePoint started;
        bool helpersAsked = false;
    };
    struct Relay
    {
        MemberId target;
        MemberRecord origin;
        std::uint64_t originSequence = 0;
        units::TimePoint expires;
    };

    void forgivePause(units::Duration gap);
    void expireProbes(Outgoing &out);
    void askHelpers(const Probe &probe, std::uint64_t sequence, Outgoing &out);
    void expireSuspicions();
    void startProbe(Outgoing &out);
    std::optional<MemberId> nextTarget();
    std::optional<MemberId> nextDead();
    void flushNews(Outgoing &out);

    void answerPing(const PeerMessage &message, Outgoing &out);
    void takeAck(const PeerMessage &message, Outgoing &out);
    void startSync(const PeerMessage &ack, Outgoing &out);
    void relayPing(const PeerMessage &message, Outgoing &out);
    void answerSync(const PeerMessage &message, Outgoing &out);

    void learn(const MemberRecord &news);
    void addListed(const MemberRecord &record);
    void learnOfSelf(const MemberRecord &news);
    void learnMark(const EndpointMark &news);
    void learnGeneration(const PeerMessage &message);
    void setHealth(Entry &entry, Health health);
    void announce(const MemberId &id);
    void announceMark(const units::HostName &host);
    void changed();

    PeerMessage compose(PeerMessageKind kind, const MemberId &to);
    void send(PeerMessage message, const MemberRecord &to, Outgoing &out);
    std::vector<std::uint64_t> bucketDigests() const;
    std::uint64_t digest() const;
    void addBuckets(PeerMessage &message) const;
    std::size_t sendLimit() const;
    const std::vector<MemberId> &neighbours();
    bool countsInDigest(const Entry &entry) const;

    const units::Clock &clock_;
    ProtocolSettings settings_;
    MemberRecord self_;
    bool superseded_ = false;
    std::map<MemberId, Entry> entries_;
    EndpointMarks marks_;
    std::size_t listedHosts_ = 0;
    bool listKnown_ = false;

    NewsQueue<MemberId> memberNews_;
    NewsQueue<units::HostName> markNews_;
    std::size_t generationSends_ = 0;
    units::Generation generation_;
    units::Generation newestGeneration_;
    MemberId newestAt_;

    std::map<std::uint64_t, Probe> probes_;
    std::map<std::uint64_t, Relay> relays_;
    std::uint64_t lastSequence_ = 0;
    std::vector<MemberId> neighbours_;
    bool neighboursKnown_ = false;
    std::size_t nextNeighbour_ = 0;
    std::size_t nextGossip_ = 0;
    std::size_t probeCount_ = 0;
    MemberId lastDead_;

    units::TimePoint started_;
    units::TimePoint lastTick_;
    units::TimePoint nextProbeAt_;
    units::TimePoint nextGossipAt_;
    units::TimePoint nextSyncAt_;
    std::uint64_t revision_ = 1;
    mutable std::uint64_t digest_ = 0;
    mutable std::uint64_t digestRevision_ = 0;
    mutable units::TimePoint digestExpires_;
    Counters counters_;
    std::mt19937 random_;
};

} // namespace monsoongrade::membership

#endif // MONSOONGRADE_MEMBERSHIP_MEMBERSHIPPROTOCOL_H
