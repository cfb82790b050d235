#ifndef MONSOONGRADE_TESTS_ADAPTER_GATEWAYFIXTURE_H
#define MONSOONGRADE_TESTS_ADAPTER_GATEWAYFIXTURE_H

#include "rawclient.h"

#include "../platform_standin/rawpeer.h"
#include "../platform_standin/standinstore.h"
#include "../platform_standin/standinworker.h"

#include <monsoongrade/httpio/messagewriter.h>
#include <monsoongrade/httpio/socketoptions.h>
#include <monsoongrade/units/bootclock.h>

#include <platform/platformheadercodec.h>
#include <platform/platformpages.h>
#include <platform/platformwatcher.h>

#include <unistd.h>

#include <memory>
#include <string>

namespace monsoongrade::platform {

// A clock that can jump ahead, as the boot clock does when the host was suspended.
class JumpingClock : public units::Clock
{
public:
    units::TimePoint now() const override { return clock_.now() + ahead_; }
    void jump(units::Duration duration) { ahead_ += duration; }

private:
    units::BootClock clock_;
    units::Duration ahead_{};
};

// One gateway and the store it reads, in one thread, on loopback addresses of their own.
class GatewayFixture
{
public:
    GatewayFixture()
        : timers(io, clock)
        , store(io, timers, 0)
    {
        settings.host = units::HostName("host-1");
        // Test programs run in parallel: each derives its addresses from its process id.
        const int pid = int(getpid());
        settings.ip = "127." + std::to_string(64 + (pid >> 14) % 64) + "."
            + std::to_string((pid >> 6) % 256) + "." + std::to_string(1 + (pid % 64) * 3);
        settings.failureDomain = units::FailureDomain("z1");
        settings.callersAddress = settings.ip + ":8001";
        settings.readinessAddress = settings.ip + ":8002";
        settings.directoryAddress = settings.ip + ":8003";
        settings.gossipPort = 8004;
        settings.placementPort = 8005;
        settings.stopWithin = std::chrono::seconds(2);
    }

    // Starts the gateway, which reads the store at once.
    void start()
    {
        gateway = std::make_unique<gateway::Gateway>(
            io, timers, settings, codec,
            gateway::Gateway::PageHandlers{serveReadiness, serveDirectory});
        gateway->start();
        watcher
            = std::make_unique<PlatformWatcher>(io, timers, *gateway, store.address(), RelayPort);
        watcher->start();
    }

    template <typename Predicate>
    bool runUntil(Predicate &&isDone, std::chrono::milliseconds limit = std::chrono::seconds(4))
    {
        const auto end = std::chrono::steady_clock::now() + limit;
        while (!isDone()) {
            if (std::chrono::steady_clock::now() >= end)
                return false;
            io.run_one_for(std::chrono::milliseconds(5));
            io.restart();
        }
        return true;
    }
    void runFor(std::chrono::milliseconds time)
    {
        runUntil([] { return false; }, time);
    }
    // Runs until the gateway has the configuration and this many endpoints; false on a timeout.
    bool awaitServing(std::size_t endpoints)
    {
        return runUntil(
            [&] { return gateway->isServing() && gateway->state().registry.size() == endpoints; });
    }

    std::shared_ptr<RawClient> connect()
    {
        return RawClient::connect(io, *httpio::parseAddress(settings.callersAddress));
    }
    // Sends a request on a new connection and waits for the end of the response.
    std::shared_ptr<RawClient> call(const std::string &request)
    {
        auto client = connect();
        client->send(request);
        runUntil([&] { return client->isComplete() || client->isClosed(); });
        return client;
    }
    std::shared_ptr<RawClient> getPage(const std::string &address, const std::string &target)
    {
        auto client = RawClient::connect(io, *httpio::parseAddress(address));
        client->send("GET " + target + " HTTP/1.1\r\nHost: x\r\n\r\n");
        runUntil([&] { return client->isComplete() || client->isClosed(); });
        return client;
    }

    // Writes the entry of a worker that a RawPeer stands in for.
    void announce(const std::string &id, const std::string &service, const std::string &address,
                  std::int64_t born = 1, const std::string &state = "ready")
    {
        store.put("servers", id,
                  {{"service", service},
                   {"address", address},
                   {"zone", "z1"},
                   {"slots", 8},
                   {"state", state},
                   {"born", born}});
    }

    static constexpr std::uint16_t RelayPort = 8007;

    JumpingClock clock;
    asio::io_context io;
    httpio::Timers timers;
    standins::StandInStore store;
    gateway::GatewaySettings settings;
    PlatformHeaderCodec codec;
    std::unique_ptr<gateway::Gateway> gateway;
    std::unique_ptr<PlatformWatcher> watcher;
};

// A route of the operator's configuration.
inline nlohmann::json route(const std::string &prefix, const std::string &kind,
                            const std::string &service, int attempts = 1, bool resumable = false)
{
    return {{"name", "r" + prefix}, {"host", "h.example"}, {"path_prefix", prefix},
            {"kind", kind},         {"timeout_ms", 3000},  {"target_latency_ms", 300},
            {"priority", 1},        {"service", service},  {"max_attempts", attempts},
            {"public", false},      {"sticky", false},     {"resumable", resumable},
            {"gap_aim_ms", 200}};
}

// Routes /safe/, /unsafe/, /stream/ and /resume/ to the services "plain" and "model"; key "k1" of
// workspace "w1".
inline nlohmann::json operatorConfiguration(int version = 1)
{
    nlohmann::json publicRoute = route("/public/", "safe", "plain");
    publicRoute["public"] = true;
    return {{"version", version},
            {"routes",
             {route("/safe/", "safe", "plain", 2), route("/unsafe/", "unsafe", "plain"),
              route("/twice/", "unsafe", "plain", 2), route("/stream/", "streaming", "model"),
              route("/resume/", "streaming", "model", 2, true), publicRoute}},
            {"services",
             {{{"name", "plain"}, {"max_connections", 50}},
              {{"name", "model"}, {"max_connections", 50}, {"engine", {{"slots", 8}}}}}},
            {"limits",
             {{"max_header_bytes", 8192},
              {"max_body_bytes", 100000},
              {"header_timeout_ms", 1000},
              {"idle_timeout_ms", 5000}}},
            {"tenants",
             {{{"name", "w1"}, {"api_keys", {"k1"}}}, {{"name", "w2"}, {"api_keys", {"k2"}}}}}};
}

// A request with the usual headers.
inline std::string request(const std::string &method, const std::string &target,
                           const std::string &id, const std::string &body = {},
                           const std::string &extraHeaders = {}, const std::string &key = "k1")
{
    return method + " " + target + " HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: " + id
        + "\r\nDeadline-Ms: 2500\r\nAuthorization: Bearer " + key + "\r\n" + extraHeaders
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline const std::string StreamHeaders = "Model: m\r\nToken-Counts: 100,20\r\n"
                                         "Prompt-Prefix: aa:60,bb:40\r\n";

// A plain response of a worker to the request with this id.
inline std::string workerResponse(const std::string &id, const std::string &body,
                                  const std::string &extraHeaders = {})
{
    return "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nResponse-Signature: s." + id + "\r\n"
        + extraHeaders + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace monsoongrade::platform

#endif // MONSOONGRADE_TESTS_ADAPTER_GATEWAYFIXTURE_H
