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
class CutHostsFixture : public EventLoop
{
public:
    static constexpr int WorkersOfService = 3;
    // Enough for all requests that wait for a connection to be passed on at one moment.
    static constexpr int SlotsOfWorker = 64;

    CutHostsFixture()
    {
        for (int i = 0; i < WorkersOfService; ++i) {
            addWorker("plain", i);
            addWorker("model", i);
        }
        start(cutHost);
        start(otherHost);
        REQUIRE(runUntil([this] { return isReady(cutHost) && isReady(otherHost); }));
    }

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
    std::vector<int> callFor(const GatewayHost &host, const std::string &path,
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
    std::shared_ptr<RawClient> send(const GatewayHost &host, const std::string &path)
    {
        return sendTo(host.settings.callersAddress, path);
    }
    // Sends a request as another host does that passes it on.
    std::shared_ptr<RawClient> sendAsHost(const GatewayHost &host, const std::string &path)
    {
        return sendTo(host.settings.ip + ":" + std::to_string(host.settings.forwardingPort), path);
    }

    int mostRunsOfARequest() const { return standins::mostRunsOfARequest(workers_); }
    // Requests that reached the workers.
    std::size_t arrived() const
    {
        std::size_t count = 0;
        for (const auto &worker : workers_)
            count += worker->arrivals().size();
        return count;
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
        auto client = RawClient::connect(io, *httpio::parseAddress(address));
        client->send(request("POST", path, "id" + std::to_string(++calls_), "body",
                             path == "/stream/a" ? StreamHeaders : ""));
        return client;
    }
    void addWorker(const std::string &service, int number)
    {
        const std::string id = service + std::to_string(number);
        workers_.push_back(std::make_unique<standins::StandInWorker>(
            io, timers, otherHost.store,
            standins::StandInWorker::Settings{id, service, "z1", SlotsOfWorker}));
        workers_.back()->announce("ready");
        links_[service].push_back(std::make_unique<standins::Link>(io, workers_.back()->address()));
        nlohmann::json entry = standins::workerEntry(service, links_[service].back()->address());
        entry["slots"] = SlotsOfWorker;
        cutHost.store.put("servers", id, entry);
    }
    void start(GatewayHost &host)
    {
        host.settings.forwardingPort = 8006;
        host.settings.seeds = {GatewayHost::ipOf(1) + ":1", GatewayHost::ipOf(2) + ":1"};
        host.store.put("config", "main", operatorConfiguration());
        host.start();
    }
    static bool isReady(const GatewayHost &host)
    {
        return host.gateway->isServing() && host.gateway->hosts().size() == 2
            && host.gateway->state().registry.size() == std::size_t(2) * WorkersOfService;
    }

    std::vector<std::unique_ptr<standins::StandInWorker>> workers_;
    std::map<std::string, std::vector<std::unique_ptr<standins::Link>>> links_; // by service
    int calls_ = 0;

public:
    GatewayHost cutHost{*this, 1};
    GatewayHost otherHost{*this, 2};
};

} // namespace monsoongrade::platform

#endif // MONSOONGRADE_TESTS_ADAPTER_CUTHOSTS_H
