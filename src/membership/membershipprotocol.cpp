#include <monsoongrade/membership/membershipprotocol.h>

#include <monsoongrade/membership/listpollperiod.h>
#include <monsoongrade/membership/watchset.h>

#include <algorithm>

namespace monsoongrade::membership {

MembershipProtocol::MembershipProtocol(const units::Clock &clock, MemberRecord self,
                                       const ProtocolSettings &settings, std::uint32_t seed)
    : clock_(clock)
    , settings_(settings)
    , self_(std::move(self))
    , marks_(settings.listLagBound)
    , lastSequence_(self_.life)
    , started_(clock.now())
    , lastTick_(started_)
    , nextProbeAt_(started_)
    , nextGossipAt_(started_)
    , nextSyncAt_(started_)
    , random_(seed)
{
    announce(self_.id);
}

MembershipProtocol::Outgoing MembershipProtocol::receive(const PeerMessage &message)
{
    Outgoing out;
    if (message.from.id == self_.id) {
        // Another process under this daemon's id: its predecessor or its successor.
        learnOfSelf(message.from);
        return out;
    }
    learn(message.from);
    learnGeneration(message);
    if (message.kind != PeerMessageKind::PingRequest) {
        for (const MemberRecord &record : message.members)
            learn(record);
    }
    for (const EndpointMark &mark : message.endpoints)
        learnMark(mark);
    switch (message.kind) {
    case PeerMessageKind::Ping:
        answerPing(message, out);
        break;
    case PeerMessageKind::Ack:
        takeAck(message, out);
        break;
    case PeerMessageKind::PingRequest:
        relayPing(message, out);
        break;
    case PeerMessageKind::IndirectAck:
        probes_.erase(message.sequence);
        break;
    case PeerMessageKind::SyncRequest:
        answerSync(message, out);
        break;
    case PeerMessageKind::SyncAnswer:
    case PeerMessageKind::Gossip:
        break;
    }
    return out;
}

void MembershipProtocol::answerPing(const PeerMessage &message, Outgoing &out)
{
    PeerMessage ack = compose(PeerMessageKind::Ack, message.from.id);
    ack.sequence = message.sequence;
    if (message.digest != ack.digest)
        ack.bucketDigests = bucketDigests();
    send(std::move(ack), message.from, out);
}

// Only the member that was asked may answer: another daemon at its address proves nothing.
void MembershipProtocol::takeAck(const PeerMessage &message, Outgoing &out)
{
    const auto probe = probes_.find(message.sequence);
    if (probe != probes_.end() && probe->second.target == message.from.id)
        probes_.erase(probe);
    const auto relay = relays_.find(message.sequence);
    if (relay != relays_.end() && relay->second.target == message.from.id) {
        PeerMessage indirect = compose(PeerMessageKind::IndirectAck, relay->second.origin.id);
        indirect.sequence = relay->second.originSequence;
        send(std::move(indirect), relay->second.origin, out);
        relays_.erase(relay);
    }
    if (!message.bucketDigests.empty())
        startSync(message, out);
}

// Repairs what lost news left apart. While news are still on their way it would only repeat
// them.
void MembershipProtocol::startSync(const PeerMessage &ack, Outgoing &out)
{
    if (clock_.now() < nextSyncAt_ || !memberNews_.empty() || !markNews_.empty())
        return;
    const auto own = bucketDigests();
    PeerMessage sync = compose(PeerMessageKind::SyncRequest, ack.from.id);
    for (std::size_t i = 0; i < own.size() && i < ack.bucketDigests.size(); ++i) {
        if (own[i] != ack.bucketDigests[i])
            sync.buckets |= 1U << i;
    }
    if (sync.buckets == 0)
        return;
    nextSyncAt_ = clock_.now() + settings_.syncPeriod;
    ++counters_.syncs;
    addBuckets(sync);
    send(std::move(sync), ack.from, out);
}

void MembershipProtocol::relayPing(const PeerMessage &message, Outgoing &out)
{
    if (message.members.empty())
        return;
    const MemberRecord &target = message.members.front();
    // Asked about this daemon itself: its record in the answer says enough.
    if (target.id == self_.id)
        return;
    const std::uint64_t sequence = ++lastSequence_;
    relays_[sequence]
        = {target.id, message.from, message.sequence, clock_.now() + settings_.probeTimeout};
    PeerMessage ping = compose(PeerMessageKind::Ping, target.id);
    ping.sequence = sequence;
    send(std::move(ping), target, out);
}

void MembershipProtocol::answerSync(const PeerMessage &message, Outgoing &out)
{
    PeerMessage answer = compose(PeerMessageKind::SyncAnswer, message.from.id);
    answer.buckets = message.buckets;
    addBuckets(answer);
    send(std::move(answer), message.from, out);
}

void MembershipProtocol::learn(const MemberRecord &news)
{
    if (news.id == self_.id) {
        learnOfSelf(news);
        return;
    }
    auto found = entries_.find(news.id);
    if (found == entries_.end()) {
        // The forgotten dead would otherwise be passed round for ever.
        if (news.health == Health::Dead)
            return;
        found = entries_.emplace(news.id, Entry{news, clock_.now(), false}).first;
    } else if (!mergeInto(found->second.record, news)) {
        return;
    }
    found->second.healthSince = clock_.now();
    neighboursKnown_ = false;
    announce(news.id);
}

void MembershipProtocol::learnOfSelf(const MemberRecord &news)
{
    if (news.life > self_.life) {
        // After a restart with the clock set back the earlier life would outrank this one for
        // ever. An old process that was frozen looks the same but isn't young, and must give way.
        if (clock_.now() - started_ > settings_.claimLifeWithin) {
            superseded_ = true;
            changed();
            return;
        }
        self_.life = news.life + 1;
        announce(self_.id);
        return;
    }
    if (news.life < self_.life)
        return;
    // This daemon runs, whatever others say; without the denial callers would be sent elsewhere
    // until it is restarted. A higher number overrules every copy of the suspicion.
    if (news.health != Health::Alive && news.refutation >= self_.refutation) {
        self_.refutation = news.refutation + 1;
        ++counters_.refutations;
        announce(self_.id);
    }
    if (news.leaving && !self_.leaving)
        leave();
}

void MembershipProtocol::learnMark(const EndpointMark &news)
{
    if (marks_.merge(news))
        announceMark(news.host);
}

void MembershipProtocol::learnGeneration(const PeerMessage &message)
{
    if (message.generation < newestGeneration_)
        return;
    newestGeneration_ = message.generation;
    newestAt_ = message.from.id;
}

void MembershipProtocol::applyList(const std::vector<platform::Host> &hosts)
{
    for (auto &entry : entries_)
        entry.second.listed = false;
    listedHosts_ = hosts.size();
    listKnown_ = true;
    for (const platform::Host &host : hosts) {
        if (host.role != platform::HostRole::Entry)
            continue;
        for (const DaemonRole role : {DaemonRole::Router, DaemonRole::Scheduler})
            addListed(
                {{host.name, role}, host.address, host.failureDomain, 0, 0, Health::Alive, false});
    }
    for (const EndpointMark &mark : marks_.applyList(hosts, clock_.now()))
        announceMark(mark.host);
    changed();
}

units::Duration MembershipProtocol::nextListRead() const
{
    std::size_t readers = 1;
    for (const auto &entry : entries_) {
        if (entry.second.record.health == Health::Alive && entry.second.record.life != 0)
            ++readers;
    }
    const units::Duration period = listPollPeriod(readers, listedHosts_);
    return std::min(period, marks_.nextReadWithin().value_or(period));
}

void MembershipProtocol::addListed(const MemberRecord &record)
{
    if (record.id == self_.id)
        return;
    addSeed(record);
    Entry &entry = entries_.at(record.id);
    entry.listed = true;
    if (entry.record.life == 0)
        entry.record.address = record.address;
}

void MembershipProtocol::addSeed(const MemberRecord &seed)
{
    if (seed.id == self_.id || entries_.count(seed.id) > 0)
        return;
    entries_.emplace(seed.id, Entry{seed, clock_.now(), false});
    neighboursKnown_ = false;
    changed();
}

void MembershipProtocol::leave()
{
    self_.leaving = true;
    announce(self_.id);
    nextGossipAt_ = clock_.now();
}

void MembershipProtocol::setGeneration(units::Generation inForce)
{
    if (inForce <= generation_)
        return;
    generation_ = inForce;
    if (newestGeneration_ < inForce)
        newestGeneration_ = inForce;
    generationSends_ = sendLimit();
}

void MembershipProtocol::setEndpointSuspected(const units::HostName &host, bool suspected)
{
    if (marks_.setSuspected(host, suspected))
        announceMark(host);
}

std::optional<MemberRecord> MembershipProtocol::newerConfigurationAt() const
{
    if (newestGeneration_ <= generation_)
        return std::nullopt;
    const auto found = entries_.find(newestAt_);
    if (found == entries_.end())
        return std::nullopt;
    return found->second.record;
}

void MembershipProtocol::announce(const MemberId &id)
{
    memberNews_.push(id, sendLimit());
    changed();
}

void MembershipProtocol::announceMark(const units::HostName &host)
{
    markNews_.push(host, sendLimit());
    changed();
}

void MembershipProtocol::changed()
{
    ++revision_;
}

// Enough for every neighbour to hear it, and some more against loss; grows with the logarithm
// of the fleet only.
std::size_t MembershipProtocol::sendLimit() const
{
    std::size_t limit = settings_.ringNeighbours + settings_.randomNeighbours;
    for (std::size_t fleet = entries_.size(); fleet > 1; fleet /= 2)
        ++limit;
    return limit;
}

PeerMessage MembershipProtocol::compose(PeerMessageKind kind, const MemberId &to)
{
    PeerMessage message;
    message.kind = kind;
    message.from = self_;
    message.generation = generation_;
    message.digest = digest();
    const auto held = entries_.find(to);
    // Whoever is suspected must hear of it to be able to deny it.
    if (held != entries_.end() && held->second.record.health != Health::Alive)
        message.members.push_back(held->second.record);
    for (const MemberId &id : memberNews_.take(settings_.mostNews)) {
        const auto found = entries_.find(id);
        if (found != entries_.end() && id != to)
            message.members.push_back(found->second.record);
    }
    for (const units::HostName &host : markNews_.take(settings_.mostNews))
        message.endpoints.push_back(marks_.all().at(host));
    return message;
}

void MembershipProtocol::send(PeerMessage message, const MemberRecord &to, Outgoing &out)
{
    if (superseded_)
        return;
    out.push_back({to.id, to.address, std::move(message)});
}

} // namespace monsoongrade::membership
