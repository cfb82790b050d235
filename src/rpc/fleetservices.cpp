#include <monsoongrade/rpc/fleetservices.h>

namespace monsoongrade::rpc {

namespace {

using configuration::DaemonSettings;
using membership::DaemonRole;
using membership::MemberRecord;

MemberRecord selfRecord(const DaemonSettings &settings, DaemonRole role)
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    MemberRecord self;
    self.id = {settings.host, role};
    self.address = settings.address;
    self.failureDomain = settings.failureDomain;
    self.life = static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(now).count());
    return self;
}

PeerSettings peerSettings(const DaemonSettings &settings, DaemonRole role,
                          const units::DaemonId &self)
{
    PeerSettings peer;
    peer.cluster = settings.cluster;
    peer.self = self;
    peer.address = settings.address;
    peer.port = role == DaemonRole::Router ? settings.routerRpcPort : std::uint16_t(0);
    peer.routerPort = settings.routerRpcPort;
    peer.schedulerPort = settings.schedulerRpcPort;
    return peer;
}

} // namespace

FleetServices::FleetServices(RpcLoop &loop, const units::Clock &clock,
                             const DaemonSettings &settings, DaemonRole role,
                             const units::DaemonId &self, membership::FleetHolder &fleet,
                             configuration::ConfigurationHolder &configuration,
                             observability::Metrics &metrics)
    : configuration_(configuration)
    , membership_(clock, selfRecord(settings, role), fleet, metrics)
    , client_(loop, peerSettings(settings, role, self))
    , server_(loop, peerSettings(settings, role, self), client_, membership_, contents_)
    , configurationPeers_(client_, membership_)
{
    // The daemon beside this one knows the fleet, also when the platform is down.
    MemberRecord sibling = selfRecord(settings, role);
    sibling.id.role = role == DaemonRole::Router ? DaemonRole::Scheduler : DaemonRole::Router;
    sibling.life = 0;
    membership_.addSeed(sibling);
}

void FleetServices::start(platform::HostList &hosts, platform::ObjectStore &store)
{
    fleetWatcher_.emplace(hosts, membership_);
    configurationWatcher_.emplace(store, configurationPeers_, contents_, configuration_);
}

} // namespace monsoongrade::rpc
