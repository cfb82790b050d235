#include <monsoongrade/daemon/commandline.h>
#include <monsoongrade/daemon/daemonid.h>
#include <monsoongrade/daemon/loglevels.h>
#include <monsoongrade/daemon/stopsignal.h>
#include <monsoongrade/endpoints/curlendpointclient.h>
#include <monsoongrade/observability/log.h>
#include <monsoongrade/platform/httpplatform.h>
#include <monsoongrade/rpc/fleetservices.h>
#include <monsoongrade/rpc/schedulerserver.h>
#include <monsoongrade/units/steadyclock.h>

#include <iostream>
#include <thread>

namespace {

using namespace monsoongrade;

// The others learn within about a second that this scheduler leaves, and ask elsewhere.
constexpr auto LeavingTime = std::chrono::milliseconds(1500);

int run(const configuration::DaemonSettings &settings)
{
    const units::SteadyClock clock;
    observability::Metrics metrics;
    endpoints::CurlEndpointClient platformClient;
    platform::HttpPlatform platform(platformClient, settings.platform);
    configuration::ConfigurationHolder configuration;
    membership::FleetHolder fleet;
    rpc::RpcLoop rpcLoop;
    const units::DaemonId self = daemon::newDaemonId(settings.host, "scheduler");
    rpc::FleetServices fleetServices(rpcLoop, clock, settings, membership::DaemonRole::Scheduler,
                                     self, fleet, configuration, metrics);
    rpc::SchedulerServer server(rpcLoop, clock,
                                {settings.cluster, self, settings.address,
                                 settings.schedulerRpcPort, &fleetServices.peers()},
                                configuration, fleet, metrics);
    fleetServices.start(platform, platform);
    observability::log(
        observability::LogLevel::Info, "scheduler-started",
        {{"daemon", self.value()}, {"port", static_cast<int>(settings.schedulerRpcPort)}});
    daemon::waitForStopSignal();
    fleetServices.membership().leave();
    observability::log(observability::LogLevel::Info, "leaving", {});
    std::this_thread::sleep_for(LeavingTime);
    observability::log(observability::LogLevel::Info, "scheduler-stopped", {});
    return daemon::ExitOk;
}

} // namespace

int main(int argc, char **argv)
{
    const auto commandLine = monsoongrade::daemon::readCommandLine(
        "monsoongrade-scheduler", "Grants places on endpoints to all routers of the cluster.", argc,
        argv);
    if (!commandLine.settings)
        return commandLine.exitCode;
    monsoongrade::daemon::blockStopSignals();
    monsoongrade::observability::startLogging(
        monsoongrade::daemon::logLevelFor(commandLine.settings->logLevel));
    try {
        return run(*commandLine.settings);
    } catch (const std::exception &error) {
        std::cerr << "monsoongrade-scheduler: " << error.what() << "\n";
        return monsoongrade::daemon::ExitFailed;
    }
}
