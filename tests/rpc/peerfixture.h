#ifndef MONSOONGRADE_TESTS_RPC_PEERFIXTURE_H
#define MONSOONGRADE_TESTS_RPC_PEERFIXTURE_H

#include <monsoongrade/rpc/peerserver.h>
#include <monsoongrade/units/steadyclock.h>

#include <string>

namespace monsoongrade::rpc {

inline membership::MemberRecord recordOf(const std::string &address)
{
    membership::MemberRecord record;
    record.id = {units::HostName("host-" + address), membership::DaemonRole::Router};
    record.address = address;
    record.life = 1;
    return record;
}

// A router's side of the Peer service on a loopback address.
struct Daemon
{
    Daemon(const std::string &address, const std::string &cluster)
        : settings(settingsOf(address, cluster))
        , membership(clock, recordOf(address), fleet, metrics)
        , client(loop, settings)
        , server(loop, settings, client, membership, contents)
    {
    }
    static PeerSettings settingsOf(const std::string &address, const std::string &cluster)
    {
        PeerSettings settings;
        settings.cluster = units::ClusterName(cluster);
        settings.self = units::DaemonId(address);
        settings.address = address;
        settings.port = 17101;
        settings.routerPort = 17101;
        settings.schedulerPort = 17102;
        return settings;
    }
    units::Outcome<configuration::ManifestContents>
    fetchFrom(const std::string &address, std::uint64_t above,
              const configuration::TextByHash &known)
    {
        return units::capture([&] {
            return client.fetchConfiguration(recordOf(address), units::Generation(above), known);
        });
    }

    units::SteadyClock clock;
    observability::Metrics metrics;
    membership::FleetHolder fleet;
    configuration::ConfigurationContents contents;
    RpcLoop loop;
    PeerSettings settings;
    membership::Membership membership;
    PeerClient client;
    PeerServer server;
};

} // namespace monsoongrade::rpc

#endif // MONSOONGRADE_TESTS_RPC_PEERFIXTURE_H
