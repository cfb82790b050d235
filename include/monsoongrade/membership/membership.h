#ifndef MONSOONGRADE_MEMBERSHIP_MEMBERSHIP_H
#define MONSOONGRADE_MEMBERSHIP_MEMBERSHIP_H

#include <monsoongrade/membership/fleetholder.h>
#include <monsoongrade/membership/membershipprotocol.h>
#include <monsoongrade/observability/metrics.h>

#include <mutex>

namespace monsoongrade::membership {

// This daemon's place in the fleet: the protocol behind a lock, its view published to the holder
// whenever it changes. Thread-safe.
class Membership
{
public:
    using Outgoing = MembershipProtocol::Outgoing;

    Membership(const units::Clock &clock, const MemberRecord &self, FleetHolder &holder,
               observability::Metrics &metrics, const ProtocolSettings &settings = {});

    Outgoing tick();
    Outgoing receive(const PeerMessage &message);
    void applyList(const std::vector<platform::Host> &hosts);
    // See MembershipProtocol.
    units::Duration nextListRead() const;
    void addSeed(const MemberRecord &seed);
    // Call it first thing in a planned stop: within about a second all others leave this daemon
    // out, while it goes on serving.
    void leave();
    void setGeneration(units::Generation inForce);
    void setEndpointSuspected(const units::HostName &host, bool suspected);

    std::optional<MemberRecord> newerConfigurationAt() const;
    // Without this daemon itself.
    std::vector<MemberRecord> members() const;
    MemberRecord self() const;

private:
    template <typename Change>
    auto change(Change apply);
    void publishIfChanged();

    FleetHolder &holder_;
    observability::Metrics &metrics_;
    mutable std::mutex mutex_;
    MembershipProtocol protocol_;
    // Keeps views in order when two threads publish at once.
    std::mutex publishMutex_;
    std::uint64_t published_ = 0;
};

} // namespace monsoongrade::membership

#endif // MONSOONGRADE_MEMBERSHIP_MEMBERSHIP_H
