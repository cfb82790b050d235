#include <monsoongrade/rpc/rpcslotsource.h>
#include <monsoongrade/rpc/schedulerserver.h>
#include <monsoongrade/units/steadyclock.h>

#include <rpc/testrelay.h>

#include <atomic>
#include <condition_variable>
#include <ctime>
#include <iostream>
#include <thread>

// What one ask, grant and release cost over RPC on loopback: bytes on the wire each way, counted
// by a relay between the two, and processor time of each side's RPC thread.
namespace {

using namespace monsoongrade;
using monsoongrade::tests::TestRelay;

constexpr int Asks = 50000;
constexpr int Open = 64;
constexpr int Endpoints = 8;
constexpr int SlotsEach = 16;
constexpr int Slots = Endpoints * SlotsEach;
constexpr auto SettleFor = std::chrono::milliseconds(200);
constexpr auto HoldFor = std::chrono::seconds(10);

double threadSeconds(rpc::RpcLoop &loop)
{
    timespec time{};
    loop.postAndWait([&] { clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time); });
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

// Releases each grant at once and lets the next ask go.
class Releaser : public scheduling::SlotListener
{
public:
    void slotGranted(const scheduling::SlotGrant &grant) override
    {
        if (source != nullptr)
            source->release(grant,
                            {grant.id, units::TokenCount(200), std::chrono::seconds(2),
                             scheduling::ReleaseOutcome::Completed});
        done();
    }
    void slotRefused(const scheduling::SlotRefusal & /*refusal*/) override
    {
        ++refused;
        done();
    }
    void waitBelow(int count)
    {
        std::unique_lock lock(mutex_);
        changed_.wait(lock, [&] { return open_ < count; });
        ++open_;
    }
    void waitForAll()
    {
        std::unique_lock lock(mutex_);
        changed_.wait(lock, [&] { return open_ == 0; });
    }

    scheduling::SlotSource *source = nullptr;
    std::atomic<int> refused{0};

private:
    void done()
    {
        const std::lock_guard lock(mutex_);
        --open_;
        changed_.notify_one();
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    int open_ = 0;
};

std::shared_ptr<configuration::Configuration> makeConfiguration()
{
    auto configuration = std::make_shared<configuration::Configuration>();
    configuration->generation = units::Generation(1);
    auto &pool = configuration->pools[units::PoolName("model-pool")];
    for (int i = 1; i <= Endpoints; ++i) {
        configuration::EndpointConfig endpoint;
        endpoint.id = units::EndpointId("model-pool-" + std::to_string(i));
        endpoint.slots = SlotsEach;
        pool.endpoints.push_back(endpoint);
    }
    return configuration;
}

scheduling::SlotAsk makeAsk(int number)
{
    scheduling::SlotAsk ask;
    ask.request = units::RequestId("entry-1-router-1764700000-" + std::to_string(number));
    ask.pool = units::PoolName("model-pool");
    ask.className = units::ClassName("summaries");
    ask.workspace = units::WorkspaceName("harbour-fc");
    ask.prefix = units::PrefixHash(0x1234567890abcdefULL);
    return ask;
}

// What passes while nothing is asked, granted or released.
void printRest(const TestRelay &relay, const char *what)
{
    std::this_thread::sleep_for(SettleFor);
    const auto up = relay.toScheduler();
    const auto down = relay.toRouter();
    std::this_thread::sleep_for(HoldFor);
    const double seconds = std::chrono::duration<double>(HoldFor).count();
    std::cout << "while " << what << ": " << double(relay.toScheduler() - up) / seconds
              << " bytes/s to the scheduler, " << double(relay.toRouter() - down) / seconds
              << " to the router\n";
}

} // namespace

int main()
{
    const units::SteadyClock clock;
    observability::Metrics metrics;
    configuration::ConfigurationHolder configuration;
    configuration.offer(makeConfiguration());
    membership::FleetHolder fleet;
    rpc::RpcLoop schedulerLoop;
    rpc::RpcLoop routerLoop;
    rpc::SchedulerServerSettings serverSettings;
    serverSettings.cluster = units::ClusterName("bench");
    serverSettings.address = "127.34.4.2";
    rpc::SchedulerServer server(schedulerLoop, clock, serverSettings, configuration, fleet,
                                metrics);
    TestRelay relay("127.34.4.1", 0, "127.34.4.2", server.port());
    membership::FleetView view;
    view.entryHosts = {{units::HostName("entry-1"), "127.34.4.1", {}, false, false}};
    fleet.publish(view);
    rpc::RpcSlotSourceSettings sourceSettings;
    sourceSettings.cluster = serverSettings.cluster;
    sourceSettings.self = units::DaemonId("entry-1-router-1764700000");
    sourceSettings.schedulerPort = relay.port();
    rpc::RpcSlotSource source(routerLoop, sourceSettings, fleet, metrics);
    const auto releaser = std::make_shared<Releaser>();
    releaser->source = &source;

    releaser->waitBelow(Open);
    source.ask(makeAsk(0), releaser);
    releaser->waitForAll();
    const double schedulerBefore = threadSeconds(schedulerLoop);
    const double routerBefore = threadSeconds(routerLoop);
    const auto up = relay.toScheduler();
    const auto down = relay.toRouter();
    const auto begin = std::chrono::steady_clock::now();
    for (int i = 1; i <= Asks; ++i) {
        releaser->waitBelow(Open);
        source.ask(makeAsk(i), releaser);
    }
    releaser->waitForAll();
    const std::chrono::duration<double> took = std::chrono::steady_clock::now() - begin;
    const auto perAsk = [](double sum) {
        return sum / Asks;
    };
    std::cout << Asks / took.count() << " asks/s, " << releaser->refused << " refused\n"
              << "bytes an ask, grant and release: " << perAsk(double(relay.toScheduler() - up))
              << " to the scheduler, " << perAsk(double(relay.toRouter() - down))
              << " to the router\n"
              << "processor: " << perAsk(threadSeconds(schedulerLoop) - schedulerBefore) * 1e6
              << " us at the scheduler, " << perAsk(threadSeconds(routerLoop) - routerBefore) * 1e6
              << " us at the router\n";

    releaser->source = nullptr;
    releaser->waitBelow(Open);
    source.ask(makeAsk(Asks + 1), releaser);
    releaser->waitForAll();
    printRest(relay, "one slot is held and nothing is awaited");
    for (int i = 2; i <= Slots; ++i) {
        releaser->waitBelow(Open);
        source.ask(makeAsk(Asks + i), releaser);
    }
    releaser->waitForAll();
    source.ask(makeAsk(Asks + Slots + 1), releaser);
    printRest(relay, "all slots are held and one ask waits");
    return releaser->refused == 0 ? 0 : 1;
}
