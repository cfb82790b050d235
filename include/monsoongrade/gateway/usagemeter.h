#ifndef MONSOONGRADE_GATEWAY_USAGEMETER_H
#define MONSOONGRADE_GATEWAY_USAGEMETER_H

#include <monsoongrade/duties/usageledger.h>
#include <monsoongrade/duties/usagepublisher.h>
#include <monsoongrade/gateway/datagramsocket.h>
#include <monsoongrade/httpio/timers.h>
#include <monsoongrade/routing/peertable.h>
#include <monsoongrade/units/wallclock.h>

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace monsoongrade::gateway {

// Counts the requests of each workspace that begin to run, and sends the counts in datagrams to the
// hosts that collect them, which include the holder of the duty lease.
class UsageMeter
{
public:
    struct Settings
    {
        std::string ownIp;
        std::uint16_t port = 0; // the same on all hosts
        duties::UsageWindows windows;
    };

    // hosts returns all live hosts, including this one.
    UsageMeter(asio::io_context &io, httpio::Timers &timers, Settings settings,
               const units::WallClock &wallClock,
               std::function<std::vector<routing::PeerUpdate>()> hosts);

    void start();
    // Counts a request of the workspace that has just begun to run.
    void onRequestStarted(const units::WorkspaceName &workspace);
    // Sends the counts that are due to the collecting hosts; also called at a planned stop, so that
    // no counts are lost.
    void sendCounts();

    const duties::UsageLedger &ledger() const { return ledger_; }
    const duties::UsageWindows &windows() const { return settings_.windows; }

private:
    units::WallTime now() const;
    void round();
    void send(const std::string &ip, const std::vector<duties::UsageEntry> &entries);
    void onDatagram(std::string_view datagram, const asio::ip::udp::endpoint &sender);

    DatagramSocket socket_;
    httpio::Timers &timers_;
    Settings settings_;
    const units::WallClock &wallClock_;
    std::function<std::vector<routing::PeerUpdate>()> hosts_;
    duties::UsageLedger ledger_;
    duties::UsagePublisher publisher_;
};

} // namespace monsoongrade::gateway

#endif // MONSOONGRADE_GATEWAY_USAGEMETER_H
