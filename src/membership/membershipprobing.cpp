#include <monsoongrade/membership/membershipprotocol.h>

#include <monsoongrade/membership/watchset.h>

#include <algorithm>

namespace monsoongrade::membership {

namespace {

// Every so many probes one goes to a dead member: after a cut both sides hold the other dead,
// and would stay apart for ever if neither asked again.
constexpr std::size_t ProbesPerDeadProbe = 4;
// A dead member of which the list knows nothing either, once the list has been read.
constexpr auto ForgetUnlistedAfter = std::chrono::minutes(2);

} // namespace

MembershipProtocol::Outgoing MembershipProtocol::tick()
{
    Outgoing out;
    const units::TimePoint now = clock_.now();
    const units::Duration gap = now - lastTick_;
    lastTick_ = now;
    if (gap > settings_.pauseThreshold)
        forgivePause(gap);
    expireProbes(out);
    expireSuspicions();
    if (now >= nextProbeAt_) {
        nextProbeAt_ = now + settings_.probePeriod;
        startProbe(out);
    }
    if (now >= nextGossipAt_) {
        nextGossipAt_ = now + settings_.gossipPeriod;
        flushNews(out);
    }
    return out;
}

// This process was frozen: answers to its probes may have come and gone, and others may have
// denied what it still holds against them. Acting on those old deadlines, it would declare the
// whole fleet dead on waking up; counted anew, everybody gets the full time to answer.
void MembershipProtocol::forgivePause(units::Duration gap)
{
    ++counters_.pauses;
    probes_.clear();
    relays_.clear();
    for (auto &entry : entries_)
        entry.second.healthSince += gap;
}

void MembershipProtocol::expireProbes(Outgoing &out)
{
    const units::TimePoint now = clock_.now();
    for (auto probe = probes_.begin(); probe != probes_.end();) {
        const units::Duration waited = now - probe->second.started;
        if (waited < settings_.probeTimeout) {
            if (waited >= settings_.directTimeout && !probe->second.helpersAsked) {
                probe->second.helpersAsked = true;
                askHelpers(probe->second, probe->first, out);
            }
            ++probe;
            continue;
        }
        const auto found = entries_.find(probe->second.target);
        probe = probes_.erase(probe);
        if (found == entries_.end() || found->second.record.health != Health::Alive)
            continue;
        ++counters_.suspicions;
        setHealth(found->second, Health::Suspected);
        const MemberRecord &target = found->second.record;
        send(compose(PeerMessageKind::Gossip, target.id), target, out);
    }
    for (auto relay = relays_.begin(); relay != relays_.end();)
        relay = now >= relay->second.expires ? relays_.erase(relay) : std::next(relay);
}

// A cut between two hosts is no death: where the direct way is broken, others' ways may not be.
void MembershipProtocol::askHelpers(const Probe &probe, std::uint64_t sequence, Outgoing &out)
{
    const auto target = entries_.find(probe.target);
    if (target == entries_.end() || target->second.record.health == Health::Dead)
        return;
    std::vector<const MemberRecord *> helpers;
    for (const auto &[id, entry] : entries_) {
        if (id != probe.target && entry.record.health == Health::Alive)
            helpers.push_back(&entry.record);
    }
    std::shuffle(helpers.begin(), helpers.end(), random_);
    helpers.resize(std::min(helpers.size(), settings_.helpers));
    for (const MemberRecord *helper : helpers) {
        PeerMessage request = compose(PeerMessageKind::PingRequest, helper->id);
        request.sequence = sequence;
        request.members.insert(request.members.begin(), target->second.record);
        send(std::move(request), *helper, out);
    }
}

void MembershipProtocol::expireSuspicions()
{
    const units::TimePoint now = clock_.now();
    for (auto current = entries_.begin(); current != entries_.end();) {
        Entry &entry = current->second;
        const units::Duration since = now - entry.healthSince;
        if (entry.record.health == Health::Suspected && since >= settings_.suspicionTime) {
            ++counters_.deaths;
            setHealth(entry, Health::Dead);
        }
        const units::Duration forget
            = listKnown_ ? units::Duration(ForgetUnlistedAfter) : settings_.forgetAfter;
        if (entry.record.health == Health::Dead && !entry.listed && since >= forget) {
            current = entries_.erase(current);
            changed();
        } else {
            ++current;
        }
    }
}

void MembershipProtocol::setHealth(Entry &entry, Health health)
{
    entry.record.health = health;
    entry.healthSince = clock_.now();
    neighboursKnown_ = false;
    announce(entry.record.id);
}

void MembershipProtocol::startProbe(Outgoing &out)
{
    const auto target = nextTarget();
    if (!target)
        return;
    ++counters_.probes;
    const std::uint64_t sequence = ++lastSequence_;
    probes_[sequence] = {*target, clock_.now(), false};
    PeerMessage ping = compose(PeerMessageKind::Ping, *target);
    ping.sequence = sequence;
    send(std::move(ping), entries_.at(*target).record, out);
}

std::optional<MemberId> MembershipProtocol::nextTarget()
{
    const std::vector<MemberId> &around = neighbours();
    // With few neighbours left, more likely this daemon is cut off than all others are dead.
    const bool isolated = around.size() < settings_.ringNeighbours;
    const std::size_t every = around.empty() ? 1 : isolated ? 2 : ProbesPerDeadProbe;
    if (++probeCount_ % every == 0) {
        if (auto dead = nextDead())
            return dead;
    }
    if (around.empty())
        return std::nullopt;
    return around[nextNeighbour_++ % around.size()];
}

// In turn; drawn at random, the one that is back could be passed over for long.
std::optional<MemberId> MembershipProtocol::nextDead()
{
    auto entry = entries_.upper_bound(lastDead_);
    for (std::size_t looked = 0; looked < entries_.size(); ++looked, ++entry) {
        if (entry == entries_.end())
            entry = entries_.begin();
        if (entry->second.record.health != Health::Dead)
            continue;
        lastDead_ = entry->first;
        return lastDead_;
    }
    return std::nullopt;
}

const std::vector<MemberId> &MembershipProtocol::neighbours()
{
    if (neighboursKnown_)
        return neighbours_;
    std::vector<MemberId> others;
    for (const auto &[id, entry] : entries_) {
        if (entry.record.health != Health::Dead)
            others.push_back(id);
    }
    neighbours_ = watchSet(self_.id, others, settings_.ringNeighbours, settings_.randomNeighbours);
    neighboursKnown_ = true;
    return neighbours_;
}

void MembershipProtocol::flushNews(Outgoing &out)
{
    const std::vector<MemberId> &around = neighbours();
    for (std::size_t i = 0; i < std::min(settings_.gossipFanout, around.size()); ++i) {
        if (memberNews_.empty() && markNews_.empty() && generationSends_ == 0)
            return;
        const MemberRecord &to = entries_.at(around[nextGossip_++ % around.size()]).record;
        if (generationSends_ > 0)
            --generationSends_;
        send(compose(PeerMessageKind::Gossip, to.id), to, out);
    }
}

} // namespace monsoongrade::membership
