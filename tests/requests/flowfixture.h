#ifndef MONSOONGRADE_TESTS_REQUESTS_FLOWFIXTURE_H
#define MONSOONGRADE_TESTS_REQUESTS_FLOWFIXTURE_H

#include <requests/fakedirectory.h>
#include <requests/fakes.h>
#include <requests/recordingresponder.h>

#include <monsoongrade/observability/log.h>
#include <monsoongrade/requests/openrequests.h>
#include <monsoongrade/requests/requestflow.h>
#include <monsoongrade/units/manualclock.h>

#include <optional>

namespace monsoongrade::requests {

// A router's services made of fakes.
struct FlowFixture
{
    explicit FlowFixture(double retryShare = 0.1, double mostRetries = 20,
                         const std::string &daemon = "a.router.1")
        : retries(retryShare, mostRetries)
        , services{clock,     slots,   client,
                   directory, metrics, decisions,
                   retries,   delayer, units::DaemonId(daemon)}
    {
        observability::startLogging(observability::LogLevel::Error);
        configuration::PoolConfig pool;
        pool.name = units::PoolName("pool");
        configuration->pools.emplace(pool.name, pool);
        configuration->workspaces[units::WorkspaceName("w")].openLimit = 50;
    }

    ClassifiedRequest request(configuration::RunRule run, bool canResume = false)
    {
        ClassifiedRequest result;
        result.id = units::RequestId(prefix + std::to_string(++requests));
        result.workspace = units::WorkspaceName("w");
        result.classConfig.policy.name = units::ClassName("c");
        result.pool = configuration->pools.at(units::PoolName("pool"));
        result.pool.canResume = canResume;
        result.run = run;
        result.method = "POST";
        result.pathAndQuery = "/v1/completions";
        result.headers = {{"monsoongrade-request-id", result.id.value()}};
        result.configuration = configuration;
        return result;
    }

    std::shared_ptr<RecordingResponder> start(const ClassifiedRequest &classified)
    {
        auto responder = std::make_shared<RecordingResponder>();
        auto ticket = units::capture([&] { return open.open(classified); }).value.value();
        RequestAccount account(services, classified, std::move(ticket));
        account.accept();
        std::make_shared<RequestFlow>(services, classified, std::move(account), responder,
                                      [this](const FlowEnd &) { ++flowsEnded; })
            ->start();
        return responder;
    }

    // Lets go of every flow; each then ends as lost.
    void dropFlows()
    {
        std::exchange(slots.asks, {}).clear();
        std::exchange(client.calls, {}).clear();
        std::exchange(delayer.waiting, {}).clear();
    }

    // Sum over all reasons of a counter of class "c".
    std::int64_t sum(const std::string &name) const
    {
        std::int64_t total = 0;
        const std::string text = metrics.exposition();
        const std::string start = "\n" + name + "{class=\"c\"";
        for (auto at = text.find(start); at != std::string::npos; at = text.find(start, at + 1))
            total += std::atoll(text.c_str() + text.find("} ", at) + 2);
        return total;
    }

    units::ManualClock clock;
    observability::Metrics metrics;
    DecisionLog decisions;
    RetryBudget retries;
    std::shared_ptr<configuration::Configuration> configuration
        = std::make_shared<configuration::Configuration>();
    OpenRequests open{100};
    std::string prefix = "r";
    int requests = 0;
    int flowsEnded = 0;
    // These hold the flows, which use all of the above up to their end.
    ManualDelayer delayer;
    FakeSlotSource slots;
    FakeEndpointClient client;
    FakeDirectory directory{{"e1", "e2", "e3"}};
    const FlowServices services;
};

} // namespace monsoongrade::requests

#endif // MONSOONGRADE_TESTS_REQUESTS_FLOWFIXTURE_H
