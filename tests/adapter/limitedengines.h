#ifndef MONSOONGRADE_TESTS_ADAPTER_LIMITEDENGINES_H
#define MONSOONGRADE_TESTS_ADAPTER_LIMITEDENGINES_H

#include "gatewayfixture.h"

#include <limitedarrivals.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

namespace monsoongrade::platform {

// Up to three gateways before engines that announce a rate limit in their responses. Counts what
// each engine gets from the hosts that it has told.
class LimitedEnginesFixture : public EventLoop
{
public:
    static constexpr double CpuShareOfSmallHost = 0.1;
    // The host with most processor time is the coordinator.
    static constexpr double CpuShareOfLargeHost = 0.5;

    LimitedEnginesFixture(std::size_t engines, double limit)
        : limit_(limit)
    {
        for (std::size_t i = 0; i < engines; ++i)
            addEngine();
        for (GatewayHost *host : {&firstHost, &secondHost, &thirdHost}) {
            host->settings.cpuShare = CpuShareOfSmallHost;
            host->settings.seeds = {GatewayHost::ipOf(1) + ":1", GatewayHost::ipOf(2) + ":1"};
            nlohmann::json configuration = operatorConfiguration();
            for (nlohmann::json &service : configuration["services"])
                service["max_connections"] = 600;
            host->store.put("config", "main", configuration);
            for (std::size_t i = 0; i < engines; ++i) {
                nlohmann::json entry = standins::workerEntry("model", engines_[i].peer->address());
                entry["slots"] = 64;
                host->store.put("servers", "engine" + std::to_string(i), entry);
            }
        }
    }

    // Starts these hosts and waits until they serve and know each other.
    void start(const std::vector<GatewayHost *> &hosts)
    {
        for (GatewayHost *host : hosts) {
            host->start();
            running_.push_back(host);
        }
        const auto isReady = [this](const GatewayHost *host) {
            return host->gateway->isServing()
                && host->gateway->state().otherHosts.size() + 1 == running_.size()
                && host->gateway->state().registry.size() == engines_.size();
        };
        REQUIRE(runUntil([&] { return std::all_of(running_.begin(), running_.end(), isReady); }));
    }

    // From now on all engines announce their limit.
    void announceLimits() { isAnnouncing_ = true; }

    // Sends requests at this rate for a time, to these hosts in turn, each with another prompt.
    void callFor(std::chrono::milliseconds time, int perSecond,
                 const std::vector<GatewayHost *> &hosts)
    {
        const auto begin = std::chrono::steady_clock::now();
        const auto end = begin + time;
        for (int sent = 0; std::chrono::steady_clock::now() < end;) {
            const auto due = (std::chrono::steady_clock::now() - begin) * perSecond;
            for (; sent <= due / std::chrono::seconds(1); ++sent)
                send(*hosts[std::size_t(sent) % hosts.size()]);
            runFor(std::chrono::milliseconds(2));
            const auto isDone = [](const auto &client) {
                return client->isComplete() || client->isClosed();
            };
            open_.erase(std::remove_if(open_.begin(), open_.end(), isDone), open_.end());
        }
    }

    // Requests that an engine with this limit may get in a span of 4 s from hosts that it has told.
    int maxArrivals() const { return tests::LimitedArrivals::allowed(limit_); }
    // The largest number that any engine got.
    int mostArrivals() const
    {
        int most = 0;
        for (const Engine &engine : engines_)
            most = std::max(most, engine.arrivals.most());
        return most;
    }

private:
    struct Engine
    {
        std::unique_ptr<standins::RawPeer> peer;
        tests::LimitedArrivals arrivals;
    };

    void addEngine()
    {
        const std::size_t number = engines_.size();
        engines_.push_back(
            {std::make_unique<standins::RawPeer>(
                 io,
                 [this, number](standins::RawConnection &connection, const std::string &text, int) {
                     respond(engines_[number], connection, text);
                 }),
             {}});
    }
    void respond(Engine &engine, standins::RawConnection &connection, const std::string &text)
    {
        const units::TimePoint now = timers.now();
        const std::string host = standins::headerIn(text, "Sent-To");
        engine.arrivals.onArrival(host, now);
        std::string head = streamHead(standins::headerIn(text, "Attempt-Id"));
        if (isAnnouncing_) {
            engine.arrivals.onAnnounced(now);
            engine.arrivals.onTold(host, now);
            head.insert(head.size() - 2, "Server-Limit: " + std::to_string(limit_) + "\r\n");
        }
        connection.write(head + httpio::encodeChunk("id: 1\ndata: x\n\n") + "0\r\n\r\n");
    }
    void send(const GatewayHost &host)
    {
        const std::string number = std::to_string(++calls_);
        open_.push_back(
            RawClient::connect(io, *httpio::parseAddress(host.settings.callersAddress)));
        open_.back()->send(request("POST", "/stream/a", "id" + number, "",
                                   "Model: m\r\nToken-Counts: 100,20\r\nPrompt-Prefix: " + number
                                       + ":60,bb:40\r\nSent-To: " + host.settings.ip + "\r\n"));
    }

    double limit_;
    bool isAnnouncing_ = false;
    std::vector<Engine> engines_;
    std::vector<GatewayHost *> running_;
    std::vector<std::shared_ptr<RawClient>> open_;
    int calls_ = 0;

public:
    GatewayHost firstHost{*this, 1};
    GatewayHost secondHost{*this, 2};
    GatewayHost thirdHost{*this, 3};
};

} // namespace monsoongrade::platform

#endif // MONSOONGRADE_TESTS_ADAPTER_LIMITEDENGINES_H
