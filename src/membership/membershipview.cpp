#include <monsoongrade/membership/membershipprotocol.h>

namespace monsoongrade::membership {

namespace {

void apply(Member &member, const MemberRecord &record)
{
    member.host = record.id.host;
    member.address = record.address;
    member.failureDomain = record.failureDomain;
    if (record.id.role == DaemonRole::Router) {
        member.leaving = record.leaving;
        member.suspected = record.health != Health::Alive;
    } else {
        member.schedulerLeaving = record.leaving;
        member.schedulerSuspected = record.health == Health::Suspected;
        member.schedulerDead = record.health == Health::Dead;
    }
}

// Of a host whose one daemon is unknown yet, nothing is asked of that daemon.
Member unknownMember()
{
    Member member;
    member.suspected = true;
    member.schedulerDead = true;
    return member;
}

} // namespace

FleetView MembershipProtocol::view() const
{
    std::map<units::HostName, Member> hosts;
    const auto add = [&hosts](const MemberRecord &record) {
        apply(hosts.emplace(record.id.host, unknownMember()).first->second, record);
    };
    for (const auto &entry : entries_)
        add(entry.second.record);
    MemberRecord self = self_;
    self.leaving = self.leaving || superseded_;
    add(self);
    FleetView view;
    view.leavingEndpointHosts = marks_.leaving();
    for (auto &[name, member] : hosts) {
        if (view.leavingEndpointHosts.erase(name) > 0) {
            member.leaving = true;
            member.schedulerLeaving = true;
        }
        view.entryHosts.push_back(std::move(member));
    }
    view.suspectedEndpointHosts = marks_.suspected();
    return view;
}

const MemberRecord *MembershipProtocol::find(const MemberId &id) const
{
    const auto found = entries_.find(id);
    return found == entries_.end() ? nullptr : &found->second.record;
}

std::vector<MemberRecord> MembershipProtocol::members() const
{
    std::vector<MemberRecord> records;
    for (const auto &entry : entries_)
        records.push_back(entry.second.record);
    return records;
}

} // namespace monsoongrade::membership
