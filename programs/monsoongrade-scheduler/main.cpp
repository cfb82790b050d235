#include <monsoongrade/daemon/commandline.h>
#include <monsoongrade/daemon/daemonid.h>
#include <monsoongrade/daemon/operatorlistener.h>
#include <monsoongrade/daemon/statuspage.h>
#include <monsoongrade/daemon/stopsignal.h>
#include <monsoongrade/endpoints/curlendpointclient.h>
#include <monsoongrade/observability/log.h>
#include <monsoongrade/platform/httpplatform.h>
#include <monsoongrade/rpc/fleetservices.h>
#include <monsoongrade/rpc/schedulerserver.h>
#include <monsoongrade/units/steadyclock.h>

#include <atomic>
#include <thread>

namespace {

using namespace monsoongrade;

constexpr auto StopCheck = std::chrono::milliseconds(50);
// Routers move within a heartbeat; one that does not is cut off or frozen.
constexpr auto MaxStopTime = std::chrono::seconds(15);
// Answers that are decided reach their routers in this time.
constexpr auto LastAnswers = std::chrono::milliseconds(100);

// A planned stop: every router moves to the next scheduler and reports what it holds there,
// before this one goes.
void drain(rpc::SchedulerServer &server)
{
    server.startLeaving();
    observability::log(observability::LogLevel::Info, "leaving", {});
    const auto end = std::chrono::steady_clock::now() + MaxStopTime;
    while (server.routersUsing() > 0 && std::chrono::steady_clock::now() < end)
        std::this_thread::sleep_for(StopCheck);
    std::this_thread::sleep_for(LastAnswers);
}

int run(const configuration::DaemonSettings &settings)
{
    const units::SteadyClock clock;
    observability::Metrics metrics;
    endpoints::CurlEndpointClient platformClient;
    platform::HttpPlatform platform(platformClient, settings.platform);
    configuration::ConfigurationHolder configuration;
    membership::FleetHolder fleet;
    const units::TimePoint startedAt = clock.now();
    std::atomic<units::TimePoint> configuredAt{startedAt};
    configuration.addListener([&](const auto &) { configuredAt = clock.now(); });
    rpc::RpcLoop rpcLoop;
    const units::DaemonId self = daemon::newDaemonId(settings.host, "scheduler");
    rpc::FleetServices fleetServices(rpcLoop, clock, settings, membership::DaemonRole::Scheduler,
                                     self, fleet, configuration, metrics);
    rpc::SchedulerServerSettings listener{settings.cluster, self, settings.address,
                                          settings.schedulerRpcPort};
    listener.peers = &fleetServices.peers();
    rpc::SchedulerServer server(rpcLoop, clock, listener, configuration, fleet, metrics);
    fleetServices.start(platform, platform);
    observability::log(
        observability::LogLevel::Info, "scheduler-started",
        {{"daemon", self.value()}, {"port", static_cast<int>(settings.schedulerRpcPort)}});
    std::atomic<bool> leaving{false};
    daemon::OperatorService operators(settings.operatorToken, [&leaving] { return !leaving; });
    operators.addPage("/metrics", [&](const std::string &) { return metrics.exposition(); });
    operators.addPage("/operator/status", [&](const std::string &) {
        const daemon::DaemonStatus status{self,
                                          membership::DaemonRole::Scheduler,
                                          settings.failureDomain,
                                          leaving,
                                          server.routersUsing(),
                                          clock.now() - startedAt,
                                          clock.now() - configuredAt.load()};
        return daemon::statusPage(status, configuration.current().get(), *fleet.current());
    });
    const daemon::OperatorListener operatorListener(settings.address,
                                                    settings.schedulerOperatorPort, operators);
    daemon::waitForStopSignal();
    fleetServices.membership().leave();
    leaving = true;
    drain(server);
    observability::log(observability::LogLevel::Info, "scheduler-stopped",
                       {{"routers-left", static_cast<std::int64_t>(server.routersUsing())}});
    return daemon::ExitOk;
}

} // namespace

int main(int argc, char **argv)
{
    return monsoongrade::daemon::runDaemon(
        "monsoongrade-scheduler", "Grants places on endpoints to all routers of the cluster.", argc,
        argv, run);
}
