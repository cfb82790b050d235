#ifndef MONSOONGRADE_TESTS_ADAPTER_GATEWAYHOST_H
#define MONSOONGRADE_TESTS_ADAPTER_GATEWAYHOST_H

#include "eventloop.h"
#include "versionstorage.h"

#include "../platform_standin/standinstore.h"

#include <platform/platformheadercodec.h>
#include <platform/platformpages.h>
#include <platform/platformwatcher.h>

#include <unistd.h>

#include <memory>
#include <optional>
#include <string>

namespace monsoongrade::platform {

// One gateway and the store it reads, on loopback addresses of their own.
class GatewayHost
{
public:
    // number: 1 to 3, to tell the hosts of one test.
    explicit GatewayHost(EventLoop &loop, int number = 1)
        : store(loop.io, loop.timers, 0)
        , loop_(loop)
    {
        settings.host = units::HostName("host-" + std::to_string(number));
        settings.ip = ipOf(number);
        settings.failureDomain = units::FailureDomain("z1");
        settings.callersAddress = settings.ip + ":8001";
        settings.readinessAddress = settings.ip + ":8002";
        settings.directoryAddress = settings.ip + ":8003";
        settings.gossipPort = 8004;
        settings.placementPort = 8005;
        settings.streamVersionsPort = 8009;
        settings.stopWithin = std::chrono::seconds(2);
    }

    // Test programs run in parallel: each derives its addresses from its process id.
    static std::string ipOf(int number)
    {
        const int pid = int(getpid());
        return "127." + std::to_string(64 + (pid >> 14) % 64) + "."
            + std::to_string((pid >> 6) % 256) + "." + std::to_string(number + (pid % 64) * 3);
    }

    // Starts the gateway, which reads the store at once, as one that has run for long enough to
    // retry requests.
    void start()
    {
        startNewProcess();
        gateway->state().startedAt -= 2 * settings.retryLimit.window;
    }
    void startNewProcess()
    {
        gateway = std::make_unique<gateway::Gateway>(
            loop_.io, loop_.timers, settings, codec,
            gateway::Gateway::PageHandlers{serveReadiness, serveDirectory});
        gateway->start();
        watcher = std::make_unique<PlatformWatcher>(loop_.io, loop_.timers, *gateway,
                                                    storeAddress(), RelayPort);
        watcher->start();
        versions = startVersionPersister(loop_, *gateway, storeAddress());
    }

    // That of its own store, unless the test has another one for it.
    asio::ip::tcp::endpoint storeAddress() const
    {
        return sharedStore ? *sharedStore : store.address();
    }

    static constexpr std::uint16_t RelayPort = 8007;

    standins::StandInStore store;
    std::optional<asio::ip::tcp::endpoint> sharedStore;
    gateway::GatewaySettings settings;
    PlatformHeaderCodec codec;
    std::unique_ptr<gateway::Gateway> gateway;
    std::unique_ptr<PlatformWatcher> watcher;
    std::shared_ptr<void> versions; // owns what keeps software versions in the store

private:
    EventLoop &loop_;
};

} // namespace monsoongrade::platform

#endif // MONSOONGRADE_TESTS_ADAPTER_GATEWAYHOST_H
