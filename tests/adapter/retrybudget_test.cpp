#include "gatewayfixture.h"

#include <doctest/doctest.h>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

using namespace monsoongrade;
using namespace monsoongrade::platform;
using standins::headerIn;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int MaxRetries = 10; // in a window
constexpr int RequestsPerProcess = 20;

// Workers that answer all requests with an error, and a process of a gateway that is killed and
// replaced.
struct ReplacedGateway : GatewayFixture
{
    ReplacedGateway()
        : replacement(*this, 2)
    {
        for (GatewayHost *host : hosts()) {
            host->settings.retryLimit = {0, MaxRetries, seconds(2)};
            host->store.put("config", "main", operatorConfiguration());
        }
        for (int i = 0; i < 3; ++i) {
            workers.push_back(std::make_unique<standins::RawPeer>(
                io, [](standins::RawConnection &connection, const std::string &text, int) {
                    connection.write("HTTP/1.1 500 Error\r\nAttempt-Id: "
                                     + headerIn(text, "Attempt-Id")
                                     + "\r\nContent-Length: 0\r\n\r\n");
                }));
            for (GatewayHost *host : hosts())
                host->store.put("servers", "p" + std::to_string(i),
                                standins::workerEntry("plain", workers.back()->address()));
        }
    }

    std::vector<GatewayHost *> hosts() { return {this, &replacement}; }
    bool awaitHost(GatewayHost &host)
    {
        return runUntil([&] {
            return host.gateway->isServing() && host.gateway->state().registry.size() == 3;
        });
    }
    // Arrivals at workers beyond the first of each request.
    int retriesOfRequestsTo(const GatewayHost &host)
    {
        const int before = arrivals();
        for (int i = 0; i < RequestsPerProcess; ++i) {
            auto client
                = RawClient::connect(io, *httpio::parseAddress(host.settings.callersAddress));
            client->send(request("GET", "/safe/a", "r" + std::to_string(++requests_)));
            REQUIRE(runUntil([&] { return client->isComplete() || client->isClosed(); }));
            CHECK(client->status() == 500);
        }
        return arrivals() - before - RequestsPerProcess;
    }

    GatewayHost replacement;
    std::vector<std::unique_ptr<standins::RawPeer>> workers;

private:
    int arrivals() const
    {
        int arrivals = 0;
        for (const auto &worker : workers)
            arrivals += worker->requests();
        return arrivals;
    }

    int requests_ = 0;
};

} // namespace

// Guards against a budget of retries that begins anew when hosts are killed and start again.
TEST_CASE("RetryBudget.NewProcessSpendsNothingInTheWindowOfTheEarlierOne")
{
    ReplacedGateway fixture;
    fixture.start();
    REQUIRE(fixture.awaitHost(fixture));
    const int ofEarlier = fixture.retriesOfRequestsTo(fixture);
    CHECK(ofEarlier > 0);
    fixture.replacement.startNewProcess();
    REQUIRE(fixture.awaitHost(fixture.replacement));
    CHECK(ofEarlier + fixture.retriesOfRequestsTo(fixture.replacement) <= MaxRetries);
    // Guards against a host that never retries after its start.
    fixture.runFor(milliseconds(2100));
    CHECK(fixture.retriesOfRequestsTo(fixture.replacement) > 0);
}
