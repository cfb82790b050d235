#ifndef MONSOONGRADE_TESTS_RPC_RPCFIXTURE_H
#define MONSOONGRADE_TESTS_RPC_RPCFIXTURE_H

#include <monsoongrade/membership/rendezvous.h>
#include <monsoongrade/rpc/rpcslotsource.h>
#include <monsoongrade/rpc/schedulerserver.h>
#include <monsoongrade/units/steadyclock.h>

#include <unistd.h>

#include <algorithm>
#include <future>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

// Schedulers and routers of one cluster in one process, joined by real connections on loopback.
namespace monsoongrade::tests {

constexpr auto Generous = std::chrono::seconds(20);

template <typename Condition>
bool eventually(Condition condition)
{
    const auto end = std::chrono::steady_clock::now() + Generous;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end)
            return false;
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
    return true;
}

// Notes the decision about one ask.
class NotedDecision : public scheduling::SlotListener
{
public:
    void slotGranted(const scheduling::SlotGrant &grant) override
    {
        const std::lock_guard lock(mutex_);
        ++decisions_;
        grant_ = grant;
    }
    void slotRefused(const scheduling::SlotRefusal &refusal) override
    {
        const std::lock_guard lock(mutex_);
        ++decisions_;
        refusal_ = refusal;
    }

    int decisions() const
    {
        const std::lock_guard lock(mutex_);
        return decisions_;
    }
    std::optional<scheduling::SlotGrant> grant() const
    {
        const std::lock_guard lock(mutex_);
        return grant_;
    }
    std::optional<scheduling::SlotRefusal> refusal() const
    {
        const std::lock_guard lock(mutex_);
        return refusal_;
    }
    bool isGranted() const { return grant().has_value(); }

private:
    mutable std::mutex mutex_;
    int decisions_ = 0;
    std::optional<scheduling::SlotGrant> grant_;
    std::optional<scheduling::SlotRefusal> refusal_;
};

// Another one for each process: the port of a killed scheduler may be given to one of a test
// that runs at the same time, which must turn this one's routers away.
inline units::ClusterName testCluster()
{
    return units::ClusterName("test-" + std::to_string(getpid()));
}

using Noted = std::shared_ptr<NotedDecision>;

inline std::shared_ptr<configuration::Configuration> configurationOf(int endpoints, int slots)
{
    auto configuration = std::make_shared<configuration::Configuration>();
    configuration->generation = units::Generation(1);
    for (const auto &[name, tier] : std::map<std::string, unsigned>{{"high", 0}, {"low", 2}}) {
        configuration::ClassConfig config;
        config.policy.name = units::ClassName(name);
        config.policy.tier = units::Tier(tier);
        config.policy.maxWait = std::chrono::minutes(5);
        config.policy.firstTokenTarget = std::chrono::minutes(5);
        config.policy.wholeAnswerTarget = std::chrono::minutes(10);
        configuration->classes[config.policy.name] = config;
    }
    configuration::PoolConfig &pool = configuration->pools[units::PoolName("pool")];
    pool.name = units::PoolName("pool");
    for (int i = 1; i <= endpoints; ++i) {
        configuration::EndpointConfig endpoint;
        endpoint.id = units::EndpointId("e" + std::to_string(i));
        endpoint.host = units::HostName("worker-" + std::to_string(i));
        endpoint.slots = slots;
        pool.endpoints.push_back(endpoint);
    }
    return configuration;
}

// One scheduler with a loop of its own, so that it can freeze or die alone.
class TestScheduler
{
public:
    TestScheduler(const std::string &address, std::uint16_t port,
                  configuration::ConfigurationHolder &configuration, membership::FleetHolder &fleet,
                  rpc::SchedulerServerSettings settings = {})
        : address_(address)
        , configuration_(configuration)
        , fleet_(fleet)
        , settings_(settings)
    {
        settings_.cluster = testCluster();
        settings_.self = units::DaemonId(address);
        settings_.address = address;
        settings_.port = port;
        start();
        settings_.port = server->port();
    }
    ~TestScheduler() { wake(); }

    membership::Member member() const
    {
        return {units::HostName(address_), address_, units::FailureDomain("d"), false, false};
    }
    void kill() { server.reset(); }
    void start()
    {
        server = std::make_unique<rpc::SchedulerServer>(loop, clock, settings_, configuration_,
                                                        fleet_, metrics);
    }
    void freeze()
    {
        woken_ = {};
        const std::shared_future<void> woken = woken_.get_future().share();
        // Until the loop stands still it may yet grant what is asked after freeze().
        std::promise<void> stands;
        loop.post([woken, &stands] {
            stands.set_value();
            woken.wait();
        });
        stands.get_future().wait();
        frozen_ = true;
    }
    void wake()
    {
        if (frozen_)
            woken_.set_value();
        frozen_ = false;
    }
    bool holds(double slots) { return gauge("monsoongrade_cell_held") == slots; }
    double gauge(const std::string &name, const std::string &labels = "{pool=\"pool\"}")
    {
        const std::string text = metrics.exposition();
        const std::string line = "\n" + name + labels + " ";
        const std::size_t found = text.find(line);
        return found == std::string::npos ? 0 : std::stod(text.substr(found + line.size()));
    }

    units::SteadyClock clock;
    observability::Metrics metrics;
    rpc::RpcLoop loop;
    std::unique_ptr<rpc::SchedulerServer> server;

private:
    std::string address_;
    configuration::ConfigurationHolder &configuration_;
    membership::FleetHolder &fleet_;
    rpc::SchedulerServerSettings settings_;
    std::promise<void> woken_;
    bool frozen_ = false;
};

// One router's end, with a loop of its own.
class TestRouter
{
public:
    TestRouter(const std::string &name, std::uint16_t port, membership::FleetHolder &fleet,
               rpc::RpcSlotSourceSettings settings = {})
        : name_(name)
    {
        settings.cluster = testCluster();
        settings.self = units::DaemonId(name);
        settings.schedulerPort = port;
        slots = std::make_unique<rpc::RpcSlotSource>(loop, settings, fleet, metrics);
    }

    scheduling::SlotAsk askOf(const std::string &request, const std::string &className = "high")
    {
        scheduling::SlotAsk ask;
        ask.request = units::RequestId(name_ + "-" + request);
        ask.router = units::DaemonId(name_);
        ask.pool = units::PoolName("pool");
        ask.className = units::ClassName(className);
        ask.workspace = units::WorkspaceName("w");
        return ask;
    }
    Noted ask(const std::string &request, const std::string &className = "high")
    {
        auto noted = std::make_shared<NotedDecision>();
        slots->ask(askOf(request, className), noted);
        return noted;
    }
    void release(const Noted &noted,
                 scheduling::ReleaseOutcome outcome = scheduling::ReleaseOutcome::Completed)
    {
        scheduling::SlotRelease release;
        release.grant = noted->grant()->id;
        release.outcome = outcome;
        slots->release(*noted->grant(), release);
    }

    observability::Metrics metrics;
    rpc::RpcLoop loop;
    std::unique_ptr<rpc::RpcSlotSource> slots;

private:
    std::string name_;
};

// Two schedulers on one port; first is the one that rendezvous order names for "pool".
class TwoSchedulers
{
public:
    explicit TwoSchedulers(int endpoints = 1, int slots = 1,
                           const rpc::SchedulerServerSettings &settings = {})
    {
        configuration.offer(configurationOf(endpoints, slots));
        first = std::make_unique<TestScheduler>("127.34.1.1", 0, configuration, fleet, settings);
        port = first->server->port();
        second
            = std::make_unique<TestScheduler>("127.34.1.2", port, configuration, fleet, settings);
        const auto order = membership::rendezvousOrder("pool", {first->member(), second->member()});
        if (order.front().host != first->member().host)
            std::swap(first, second);
        publish({first->member(), second->member()});
    }
    void publish(std::vector<membership::Member> members) { publish(fleet, std::move(members)); }
    static void publish(membership::FleetHolder &holder, std::vector<membership::Member> members)
    {
        membership::FleetView view;
        view.entryHosts = std::move(members);
        holder.publish(view);
    }

    configuration::ConfigurationHolder configuration;
    membership::FleetHolder fleet;
    std::unique_ptr<TestScheduler> first;
    std::unique_ptr<TestScheduler> second;
    std::uint16_t port = 0;
};

} // namespace monsoongrade::tests

#endif // MONSOONGRADE_TESTS_RPC_RPCFIXTURE_H
