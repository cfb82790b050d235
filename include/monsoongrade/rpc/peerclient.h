#ifndef MONSOONGRADE_RPC_PEERCLIENT_H
#define MONSOONGRADE_RPC_PEERCLIENT_H

#include <monsoongrade/configuration/configurationcontents.h>
#include <monsoongrade/membership/peermessage.h>
#include <monsoongrade/requests/keyholderclient.h>
#include <monsoongrade/rpc/peersettings.h>
#include <monsoongrade/rpc/rpcloop.h>

#include <functional>
#include <memory>

namespace monsoongrade::rpc {

// Calls the Peer service of other daemons, over connections that are kept while they are used
// and opened anew after a fault.
class PeerClient
{
public:
    using OnAnswer = std::function<void(const membership::PeerMessage &)>;

    PeerClient(RpcLoop &loop, const PeerSettings &settings);
    ~PeerClient();

    // Sends the message and hands each answer to onAnswer, on the loop's thread. Where the other
    // daemon can't be reached nothing happens; the membership protocol notices by itself. Only
    // on the loop's thread.
    void tell(const membership::OutgoingMessage &message, OnAnswer onAnswer);

    // Asks one daemon for its configuration and waits for the answer, for two seconds at most.
    // Not on the loop's thread. Errors: NoConfiguration where it can't be reached,
    // PeerMessageMalformed.
    units::Result<configuration::ManifestContents>
    fetchConfiguration(const membership::MemberRecord &from, units::Generation above,
                       const configuration::TextByHash &known);

    // Asks a router about an idempotency key that it holds. Replies on the loop's thread, once;
    // as Unreachable where the router can't be reached or does not answer within a minute. From
    // any thread.
    void askKey(const membership::MemberRecord &holder, const requests::HolderQuestion &question,
                requests::KeyHolderClient::ReplyHandler reply);

private:
    class Impl;
    RpcLoop &loop_;
    std::shared_ptr<Impl> impl_;
};

} // namespace monsoongrade::rpc

#endif // MONSOONGRADE_RPC_PEERCLIENT_H
