#ifndef MONSOONGRADE_RPC_RPCCONFIGURATIONPEERS_H
#define MONSOONGRADE_RPC_RPCCONFIGURATIONPEERS_H

#include <monsoongrade/configuration/configurationpeers.h>
#include <monsoongrade/membership/membership.h>
#include <monsoongrade/rpc/peerclient.h>

#include <random>

namespace monsoongrade::rpc {

// The fleet's other daemons as a source of configuration: who watches the store follows from the
// members known, whom to ask from the generations that their messages name.
class RpcConfigurationPeers : public configuration::ConfigurationPeers
{
public:
    RpcConfigurationPeers(PeerClient &client, membership::Membership &membership);

    bool isWatcher() override;
    bool hasNewer() override;
    units::Result<configuration::ManifestContents>
    fetch(units::Generation above, const configuration::TextByHash &known) override;
    void inForce(units::Generation generation) override;

private:
    PeerClient &client_;
    membership::Membership &membership_;
    std::mt19937 random_;
};

} // namespace monsoongrade::rpc

#endif // MONSOONGRADE_RPC_RPCCONFIGURATIONPEERS_H
