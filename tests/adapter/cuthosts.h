#ifndef MONSOONGRADE_TESTS_ADAPTER_CUTHOSTS_H
#define MONSOONGRADE_TESTS_ADAPTER_CUTHOSTS_H

#include "gatewayfixture.h"

#include "../platform_standin/link.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <limits>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace monsoongrade::platform {

// Two gateways before three plain and three model workers. The first gateway reaches the workers
// over links that a test cuts, the second one directly; each reads a store of its own, which names
// the workers by the addresses that it reaches them at.
class CutHostsFixture
{
public:
    static constexpr int WorkersOfService = 3;
    // Enough for all requests that wait for a connection to be passed on at one moment.
    static constexpr int SlotsOfWorker = 64;

    CutHostsFixture()
        : timers_(io_, clock_)
        , cutHost(makeHost(1))
        , otherHost(makeHost(2))
    {
        for (int i = 0; i < WorkersOfService; ++i) {
            addWorker("plain", i);
            addWorker("model", i);
        }
        start(*cutHost);
        start(*otherHost);
        REQUIRE(runUntil([this] { return isReady(*cutHost) && isReady(*otherHost); }));
    }

    struct Host
    {
        Host(asio::io_context &io, httpio::Timers &timers)
            : store(io, timers, 0)
        {
        }
        standins::StandInStore store;
        gateway::GatewaySettings settings;
        std::unique_ptr<gateway::Gateway> gateway;
        std::unique_ptr<PlatformWatcher> watcher;
    };

    // Cuts or heals the path of the first gateway to all workers of a service.
    void cut(const std::string &service, standins::LinkFault fault)
    {
        for (const auto &link : links_[service])
            link->cut(fault);
    }
    void heal(const std::string &service)
    {
        for (const auto &link : links_[service])
            link->heal();
    }

    // Sends requests at this interval for a time, each on a connection of its own, and returns
    // their statuses; 0 for those without an answer.
    std::vector<int> callFor(const Host &host, const std::string &path,
                             std::chrono::milliseconds time, std::chrono::milliseconds interval)
    {
        std::vector<std::shared_ptr<RawClient>> clients;
        const auto end = std::chrono::steady_clock::now() + time;
        while (std::chrono::steady_clock::now() < end) {
            clients.push_back(send(host, path));
            runFor(interval);
        }
        runUntil([&] {
            return std::all_of(clients.begin(), clients.end(), [](const auto &client) {
                return client->isComplete() || client->isClosed();
            });
        });
        std::vector<int> statuses;
        statuses.reserve(clients.size());
        for (const auto &client : clients)
            statuses.push_back(client->isComplete() ? client->status() : 0);
        return statuses;
    }
    std::shared_ptr<RawClient> send(const Host &host, const std::string &path)
    {
        return sendTo(host.settings.callersAddress, path);
    }
    // Sends a request as another host does that passes it on.
    std::shared_ptr<RawClient> sendAsHost(const Host &host, const std::string &path)
    {
        return sendTo(host.settings.ip + ":" + std::to_string(host.settings.forwardingPort), path);
    }

    template <typename Predicate>
    bool runUntil(Predicate &&isDone, std::chrono::milliseconds limit = std::chrono::seconds(4))
    {
        const auto end = std::chrono::steady_clock::now() + limit;
        while (!isDone()) {
            if (std::chrono::steady_clock::now() >= end)
                return false;
            io_.run_one_for(std::chrono::milliseconds(2));
            io_.restart();
        }
        return true;
    }
    void runFor(std::chrono::milliseconds time)
    {
        runUntil([] { return false; }, time);
    }

    // The largest number of times that a worker, or several, ran the same request.
    int mostRunsOfARequest() const
    {
        std::map<std::string, int> runs;
        int most = 0;
        for (const auto &worker : workers_) {
            for (const standins::WorkerRun &run : worker->runs())
                most = std::max(most, ++runs[run.requestId]);
        }
        return most;
    }
    // From now on the workers' streams have no end.
    void setEndless()
    {
        for (const auto &worker : workers_)
            worker->setEvents(std::numeric_limits<int>::max());
    }
    // Connections that were closed at a worker before the end of the response.
    int clientsDisconnected() const
    {
        int count = 0;
        for (const auto &worker : workers_)
            count += worker->clientsDisconnected();
        return count;
    }

private:
    std::shared_ptr<RawClient> sendTo(const std::string &address, const std::string &path)
    {
        auto client = RawClient::connect(io_, *httpio::parseAddress(address));
        client->send(request("POST", path, "id" + std::to_string(++calls_), "body",
                             path == "/stream/a" ? StreamHeaders : ""));
        return client;
    }
    std::unique_ptr<Host> makeHost(int number)
    {
        auto host = std::make_unique<Host>(io_, timers_);
        gateway::GatewaySettings &settings = host->settings;
        settings.host = units::HostName("host-" + std::to_string(number));
        settings.ip = ipOf(number);
        settings.failureDomain = units::FailureDomain("z1");
        settings.callersAddress = settings.ip + ":8001";
        settings.readinessAddress = settings.ip + ":8002";
        settings.directoryAddress = settings.ip + ":8003";
        settings.gossipPort = 8004;
        settings.placementPort = 8005;
        settings.relayPort = 8007;
        settings.forwardingPort = 8006;
        settings.seeds = {ipOf(1) + ":1", ipOf(2) + ":1"};
        settings.stopWithin = std::chrono::seconds(2);
        host->store.put("config", "main", operatorConfiguration());
        return host;
    }
    // Test programs run in parallel: each derives its addresses from its process id.
    static std::string ipOf(int host)
    {
        const int pid = int(getpid());
        return "127." + std::to_string(64 + (pid >> 14) % 64) + "."
            + std::to_string((pid >> 6) % 256) + "." + std::to_string(host + (pid % 64) * 3);
    }
    void addWorker(const std::string &service, int number)
    {
        const std::string id = service + std::to_string(number);
        workers_.push_back(std::make_unique<standins::StandInWorker>(
            io_, timers_, otherHost->store,
            standins::StandInWorker::Settings{id, service, "z1", SlotsOfWorker}));
        workers_.back()->announce("ready");
        links_[service].push_back(
            std::make_unique<standins::Link>(io_, workers_.back()->address()));
        cutHost->store.put("servers", id,
                           {{"service", service},
                            {"address", links_[service].back()->address()},
                            {"zone", "z1"},
                            {"slots", SlotsOfWorker},
                            {"state", "ready"},
                            {"born", 1}});
    }
    void start(Host &host)
    {
        host.gateway = std::make_unique<gateway::Gateway>(
            io_, timers_, host.settings, codec_,
            gateway::Gateway::PageHandlers{serveReadiness, serveDirectory});
        host.gateway->start();
        host.watcher = std::make_unique<PlatformWatcher>(
            io_, timers_, *host.gateway, host.store.address(), host.settings.relayPort);
        host.watcher->start();
    }
    static bool isReady(const Host &host)
    {
        return host.gateway->isServing() && host.gateway->hosts().size() == 2
            && host.gateway->state().registry.size() == std::size_t(2) * WorkersOfService;
    }

    units::BootClock clock_;
    asio::io_context io_;
    httpio::Timers timers_;
    PlatformHeaderCodec codec_;
    std::vector<std::unique_ptr<standins::StandInWorker>> workers_;
    std::map<std::string, std::vector<std::unique_ptr<standins::Link>>> links_; // by service
    int calls_ = 0;

public:
    std::unique_ptr<Host> cutHost;
    std::unique_ptr<Host> otherHost;
};

} // namespace monsoongrade::platform

#endif // MONSOONGRADE_TESTS_ADAPTER_CUTHOSTS_H
