#include "slotsources.h"

#include <monsoongrade/configuration/configurationwatcher.h>
#include <monsoongrade/daemon/commandline.h>
#include <monsoongrade/daemon/daemonid.h>
#include <monsoongrade/daemon/entrypoints.h>
#include <monsoongrade/daemon/loglevels.h>
#include <monsoongrade/daemon/stopsignal.h>
#include <monsoongrade/endpoints/curlendpointclient.h>
#include <monsoongrade/http/httpserver.h>
#include <monsoongrade/membership/fleetwatcher.h>
#include <monsoongrade/observability/log.h>
#include <monsoongrade/platform/httpplatform.h>
#include <monsoongrade/requests/callerfrontend.h>
#include <monsoongrade/units/steadyclock.h>

#include <iostream>
#include <thread>

namespace {

using namespace monsoongrade;

constexpr auto DrainCheck = std::chrono::milliseconds(50);

http::HttpServerSettings callerListener(const configuration::DaemonSettings &settings)
{
    http::HttpServerSettings listener;
    listener.address = settings.address;
    listener.port = settings.httpPort;
    listener.threads = settings.threads;
    listener.bodyLimit = settings.bodyLimit;
    return listener;
}

// A planned stop: callers keep addresses for a while, so the listener serves until the last of
// them has run out and the last answer has ended.
void drain(requests::CallerFrontend &frontend, const configuration::DaemonSettings &settings)
{
    frontend.startLeaving();
    observability::log(observability::LogLevel::Info, "leaving", {});
    std::this_thread::sleep_for(settings.keepAddress);
    while (frontend.open() > 0)
        std::this_thread::sleep_for(DrainCheck);
}

int run(const configuration::DaemonSettings &settings)
{
    const units::SteadyClock clock;
    observability::Metrics metrics;
    endpoints::CurlEndpointClient platformClient;
    endpoints::CurlEndpointClient endpointClient;
    platform::HttpPlatform platform(platformClient, settings.platform);
    configuration::ConfigurationHolder configuration;
    membership::FleetHolder fleet;
    rpc::RpcLoop rpcLoop;
    const units::DaemonId self = daemon::newDaemonId(settings.host, "router");
    SlotSources slots(settings, self, clock, rpcLoop, endpointClient, configuration, fleet,
                      metrics);
    requests::DecisionLog decisions;
    const requests::FlowServices services{clock,   slots.chosen(), endpointClient,
                                          metrics, decisions,      self};
    requests::CallerFrontend frontend(services, configuration, settings.openLimit, [&] {
        return daemon::entryPointsAnswer(*fleet.current(), settings.failureDomain,
                                         settings.httpPort, settings.keepAddress);
    });
    membership::FleetWatcher fleetWatcher(platform, fleet);
    configuration::ConfigurationWatcher configurationWatcher(platform, configuration);
    http::HttpServer server(callerListener(settings),
                            [&](http::HttpRequest request, auto responder) {
                                frontend.handle(request, std::move(responder));
                            });
    observability::log(observability::LogLevel::Info, "router-started",
                       {{"daemon", self.value()}, {"port", static_cast<int>(settings.httpPort)}});
    daemon::waitForStopSignal();
    drain(frontend, settings);
    observability::log(observability::LogLevel::Info, "router-stopped", {});
    return daemon::ExitOk;
}

} // namespace

int main(int argc, char **argv)
{
    const auto commandLine = monsoongrade::daemon::readCommandLine(
        "monsoongrade-router", "Takes callers' requests and relays the answers of endpoints.", argc,
        argv);
    if (!commandLine.settings)
        return commandLine.exitCode;
    monsoongrade::daemon::blockStopSignals();
    monsoongrade::observability::startLogging(
        monsoongrade::daemon::logLevelFor(commandLine.settings->logLevel));
    try {
        return run(*commandLine.settings);
    } catch (const std::exception &error) {
        std::cerr << "monsoongrade-router: " << error.what() << "\n";
        return monsoongrade::daemon::ExitFailed;
    }
}
