#ifndef MONSOONGRADE_TESTS_ADAPTER_GATEWAYFIXTURE_H
#define MONSOONGRADE_TESTS_ADAPTER_GATEWAYFIXTURE_H

#include "gatewayhost.h"
#include "rawclient.h"

#include "../platform_standin/rawpeer.h"
#include "../platform_standin/standinworker.h"

#include <monsoongrade/httpio/messagewriter.h>
#include <monsoongrade/httpio/socketoptions.h>

#include <memory>
#include <string>

namespace monsoongrade::platform {

// One gateway and the store it reads, in one thread.
class GatewayFixture : public EventLoop, public GatewayHost
{
public:
    GatewayFixture()
        : GatewayHost(static_cast<EventLoop &>(*this))
    {
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
        nlohmann::json entry = standins::workerEntry(service, address);
        entry["state"] = state;
        entry["born"] = born;
        store.put("servers", id, entry);
    }
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

// The head of a worker's chunked response to the request with this id.
inline std::string streamHead(const std::string &id)
{
    return "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nResponse-Signature: s." + id
        + "\r\nTransfer-Encoding: chunked\r\n\r\n";
}

// A plain response of a worker to the request with this id.
inline std::string workerResponse(const std::string &id, const std::string &body,
                                  const std::string &extraHeaders = {})
{
    return "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nResponse-Signature: s." + id + "\r\n"
        + extraHeaders + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace monsoongrade::platform

#endif // MONSOONGRADE_TESTS_ADAPTER_GATEWAYFIXTURE_H
