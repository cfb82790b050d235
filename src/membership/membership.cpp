#include <monsoongrade/membership/membership.h>

#include <random>

namespace monsoongrade::membership {

Membership::Membership(const units::Clock &clock, const MemberRecord &self, FleetHolder &holder,
                       observability::Metrics &metrics, const ProtocolSettings &settings)
    : holder_(holder)
    , metrics_(metrics)
    , protocol_(clock, self, settings, std::random_device()())
{
    publishIfChanged();
}

template <typename Change>
auto Membership::change(Change apply)
{
    struct Publisher
    {
        Membership &membership;
        ~Publisher() { membership.publishIfChanged(); }
    };
    const Publisher publisher{*this};
    const std::lock_guard lock(mutex_);
    return apply();
}

Membership::Outgoing Membership::tick()
{
    return change([this] { return protocol_.tick(); });
}

Membership::Outgoing Membership::receive(const PeerMessage &message)
{
    return change([&] { return protocol_.receive(message); });
}

void Membership::applyList(const std::vector<platform::Host> &hosts)
{
    change([&] { protocol_.applyList(hosts); });
}

units::Duration Membership::nextListRead() const
{
    const std::lock_guard lock(mutex_);
    return protocol_.nextListRead();
}

void Membership::addSeed(const MemberRecord &seed)
{
    change([&] { protocol_.addSeed(seed); });
}

void Membership::leave()
{
    change([this] { protocol_.leave(); });
}

void Membership::setGeneration(units::Generation inForce)
{
    change([&] { protocol_.setGeneration(inForce); });
}

void Membership::setEndpointSuspected(const units::HostName &host, bool suspected)
{
    change([&] { protocol_.setEndpointSuspected(host, suspected); });
}

std::optional<MemberRecord> Membership::newerConfigurationAt() const
{
    const std::lock_guard lock(mutex_);
    return protocol_.newerConfigurationAt();
}

std::vector<MemberRecord> Membership::members() const
{
    const std::lock_guard lock(mutex_);
    return protocol_.members();
}

MemberRecord Membership::self() const
{
    const std::lock_guard lock(mutex_);
    return protocol_.self();
}

void Membership::publishIfChanged()
{
    const std::lock_guard order(publishMutex_);
    FleetView view;
    MembershipProtocol::Counters counters;
    {
        const std::lock_guard lock(mutex_);
        if (protocol_.revision() == published_)
            return;
        published_ = protocol_.revision();
        view = protocol_.view();
        counters = protocol_.counters();
    }
    const auto set = [this](const char *name, std::uint64_t value) {
        metrics_.set(name, {}, static_cast<double>(value));
    };
    set("monsoongrade_membership_hosts", view.entryHosts.size());
    set("monsoongrade_membership_hosts_live", view.liveEntryHosts().size());
    set("monsoongrade_membership_suspicions", counters.suspicions);
    set("monsoongrade_membership_deaths", counters.deaths);
    set("monsoongrade_membership_refutations", counters.refutations);
    set("monsoongrade_membership_pauses", counters.pauses);
    set("monsoongrade_membership_syncs", counters.syncs);
    holder_.publish(std::move(view));
}

} // namespace monsoongrade::membership
