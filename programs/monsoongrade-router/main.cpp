#include "claimservices.h"
#include "slotsources.h"

#include <monsoongrade/daemon/commandline.h>
#include <monsoongrade/daemon/daemonid.h>
#include <monsoongrade/daemon/entrypoints.h>
#include <monsoongrade/daemon/liveendpoints.h>
#include <monsoongrade/daemon/operatorlistener.h>
#include <monsoongrade/daemon/statuspage.h>
#include <monsoongrade/daemon/stopsignal.h>
#include <monsoongrade/endpoints/curlendpointclient.h>
#include <monsoongrade/http/httpserver.h>
#include <monsoongrade/http/query.h>
#include <monsoongrade/observability/log.h>
#include <monsoongrade/platform/httpplatform.h>
#include <monsoongrade/requests/callerfrontend.h>
#include <monsoongrade/requests/workerpool.h>
#include <monsoongrade/rpc/fleetservices.h>
#include <monsoongrade/rpc/rpckeyholders.h>
#include <monsoongrade/timing/threaddelayer.h>
#include <monsoongrade/units/steadyclock.h>

#include <atomic>
#include <thread>

namespace {

using namespace monsoongrade;

constexpr auto DrainCheck = std::chrono::milliseconds(50);
constexpr auto QuietBeforeExit = std::chrono::milliseconds(250);
// Longest time until the other routers leave this one out of their entry points.
constexpr auto LeavingSpread = std::chrono::seconds(3);
constexpr std::size_t ClaimThreads = 4;
constexpr std::size_t MaxClaimsWaiting = 256;

std::chrono::milliseconds milliseconds(units::Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration);
}

http::HttpServerSettings callerListener(const configuration::DaemonSettings &settings)
{
    http::HttpServerSettings listener;
    listener.address = settings.address;
    listener.port = settings.httpPort;
    listener.threads = settings.threads;
    listener.bodyLimit = settings.bodyLimit;
    listener.headerLimit = settings.headerLimit;
    listener.headerCountLimit = settings.headerCountLimit;
    listener.connectionLimit = settings.connectionLimit;
    listener.readTimeout = milliseconds(settings.readTimeout);
    listener.writeTimeout = milliseconds(settings.writeTimeout);
    return listener;
}

// A planned stop: callers keep addresses for a while, and other routers hand this one's out until
// they have heard that it leaves. The listener serves until the last of these has run out, the
// last answer's bytes have left, and nothing has come for a moment.
void drain(requests::CallerFrontend &frontend, const http::HttpServer &server,
           membership::Membership &membership, const configuration::DaemonSettings &settings)
{
    membership.leave();
    frontend.startLeaving();
    observability::log(observability::LogLevel::Info, "leaving", {});
    std::this_thread::sleep_for(settings.keepAddress + LeavingSpread);
    auto idleFor = std::chrono::milliseconds(0);
    while (idleFor < QuietBeforeExit) {
        std::this_thread::sleep_for(DrainCheck);
        const bool isIdle = frontend.open() == 0 && server.openAnswers() == 0;
        idleFor = isIdle ? idleFor + DrainCheck : std::chrono::milliseconds(0);
    }
}

// What was decided about one request.
void addExplainPage(daemon::OperatorService &operators, requests::DecisionLog &decisions)
{
    operators.addPage("/operator/explain", [&decisions](const std::string &query) {
        const units::RequestId request(http::queryValue(query, "request"));
        return daemon::explainPage(request, decisions.find(request));
    });
}

int run(const configuration::DaemonSettings &settings)
{
    const units::SteadyClock clock;
    observability::Metrics metrics;
    requests::DecisionLog decisions;
    requests::RetryBudget retries;
    endpoints::CurlEndpointClient platformClient;
    endpoints::CurlEndpointClient endpointClient;
    platform::HttpPlatform platform(platformClient, settings.platform);
    configuration::ConfigurationHolder configuration;
    membership::FleetHolder fleet;
    rpc::RpcLoop rpcLoop;
    const units::DaemonId self = daemon::newDaemonId(settings.host, "router");
    SlotSources slots(settings, self, clock, rpcLoop, endpointClient, configuration, fleet,
                      metrics);
    timing::ThreadDelayer delayer;
    const daemon::LiveEndpoints directory(configuration, fleet);
    const requests::FlowServices services{clock,     slots.chosen(), endpointClient,
                                          directory, metrics,        decisions,
                                          retries,   delayer,        self};
    std::atomic<units::TimePoint> configuredAt{clock.now()};
    configuration.addListener([&](const auto &) { configuredAt = clock.now(); });
    rpc::FleetServices fleetServices(rpcLoop, clock, settings, membership::DaemonRole::Router, self,
                                     fleet, configuration, metrics);
    ClaimServices claims(platform, metrics, settings, self);
    rpc::RpcKeyHolders holders(rpcLoop, fleetServices.client(), fleetServices.membership());
    requests::WorkerPool claimWorker(ClaimThreads, MaxClaimsWaiting);
    requests::KeyedRequests keyed(services, claims.claims(), holders, claimWorker, {});
    fleetServices.peers().answerKeysWith(
        [&keyed](const auto &question, const auto &reply) { keyed.answerPeer(question, reply); });
    requests::CallerFrontend frontend(services, keyed, configuration, settings.openLimit, [&] {
        const auto inForce = configuration.current();
        std::set<std::string> drained = inForce ? inForce->drained : std::set<std::string>();
        if (frontend.isLeaving())
            drained.insert(settings.host.value());
        return daemon::entryPointsAnswer(*fleet.current(), drained, settings.failureDomain,
                                         settings.httpPort, settings.keepAddress);
    });
    const units::TimePoint startedAt = clock.now();
    http::HttpServerSettings listener = callerListener(settings);
    listener.refuse = [&](const units::Error &error, http::HttpResponder &responder) {
        frontend.refuseUnread(error, responder);
    };
    http::HttpServer server(listener, [&](http::HttpRequest request, auto responder) {
        frontend.handle(request, std::move(responder));
    });
    daemon::OperatorService operators(settings.operatorToken, [&] { return frontend.isReady(); });
    operators.addPage("/operator/status", [&](const std::string &) {
        const daemon::DaemonStatus status{self,
                                          membership::DaemonRole::Router,
                                          settings.failureDomain,
                                          frontend.isLeaving(),
                                          frontend.open(),
                                          clock.now() - startedAt,
                                          clock.now() - configuredAt.load()};
        return daemon::statusPage(status, configuration.current().get(), *fleet.current());
    });
    addExplainPage(operators, decisions);
    operators.addPage("/metrics", [&](const std::string &) { return frontend.metricsPage(); });
    const daemon::OperatorListener operatorListener(settings.address, settings.operatorPort,
                                                    operators);
    fleetServices.start(platform, platform);
    claims.startSweeping(fleet);
    observability::log(observability::LogLevel::Info, "router-started",
                       {{"daemon", self.value()}, {"port", static_cast<int>(settings.httpPort)}});
    daemon::waitForStopSignal();
    drain(frontend, server, fleetServices.membership(), settings);
    fleetServices.peers().answerKeysWith({});
    observability::log(observability::LogLevel::Info, "router-stopped", {});
    return daemon::ExitOk;
}

} // namespace

int main(int argc, char **argv)
{
    return monsoongrade::daemon::runDaemon(
        "monsoongrade-router", "Takes callers' requests and relays the answers of endpoints.", argc,
        argv, run);
}
