#include "gatewayfixture.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace monsoongrade;
using namespace monsoongrade::platform;

namespace {

constexpr auto StopWithin = std::chrono::seconds(2);
// What a host that is asked to stop leaves for the answers to reach their clients.
constexpr auto TimeToDeliver = std::chrono::milliseconds(100);

// One gateway before a model worker that reads long prompts for longer than the test lasts, so that
// further long prompts wait for it.
struct StoppingHost : GatewayFixture
{
    StoppingHost()
        : model(io, timers, store,
                {"m1", "model", "z1", 8,
                 std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::seconds(20))})
    {
        settings.stopWithin = StopWithin;
        nlohmann::json configuration = operatorConfiguration();
        for (nlohmann::json &route : configuration["routes"])
            route["gap_aim_ms"] = 500; // clients wait for events for longer than the stop lasts
        store.put("config", "main", configuration);
        model.announce("ready");
        start();
        REQUIRE(awaitServing(1));
    }

    std::shared_ptr<RawClient> sendLongPrompt(const std::string &id, const std::string &path)
    {
        auto client = connect();
        client->send(
            request("POST", path, id, "b",
                    "Model: m\r\nToken-Counts: 300000,20\r\nPrompt-Prefix: " + id + ":300000\r\n"));
        return client;
    }
    void beginStop()
    {
        gateway->stop([this] { isStopped_ = true; });
    }
    // Runs until the host would end. Returns false if that takes longer than the host has.
    bool awaitEnd()
    {
        return runUntil([this] { return isStopped_; }, StopWithin + std::chrono::milliseconds(500));
    }

    standins::StandInWorker model;

private:
    bool isStopped_ = false;
};

} // namespace

// Guards against ending while a request waits for an endpoint, whose client would get no answer.
TEST_CASE("PlannedStop.RequestThatWaitsForAnEndpointIsRefused")
{
    for (const char *path : {"/stream/a", "/resume/a"}) {
        StoppingHost host;
        const auto running = host.sendLongPrompt("first", path);
        REQUIRE(host.runUntil([&] { return host.model.runs().size() == 1; }));
        host.beginStop();
        host.runFor(std::chrono::milliseconds(500)); // it still accepts requests
        const auto waiting = host.sendLongPrompt("second", path);
        host.runFor(std::chrono::milliseconds(100));
        REQUIRE(waiting->status() == 0);
        REQUIRE(host.awaitEnd());
        host.runFor(TimeToDeliver);
        CHECK(waiting->isComplete());
        CHECK(waiting->status() == 503);
        CHECK_FALSE(standins::headerIn(waiting->received(), "Retry-After").empty());
        CHECK(host.model.runs().size() == 1);
    }
}

// Guards against closing the connection of a request that an endpoint has not answered in time.
TEST_CASE("PlannedStop.RequestThatOutlastsTheHostIsAnswered")
{
    StoppingHost host;
    const auto running = host.sendLongPrompt("first", "/stream/a");
    REQUIRE(host.runUntil([&] { return host.model.runs().size() == 1; }));
    host.beginStop();
    REQUIRE(host.awaitEnd());
    host.runFor(TimeToDeliver);
    CHECK(running->isComplete());
    CHECK(running->status() == 502);
    CHECK(standins::headerIn(running->received(), "Retry-After").empty());
}

// Guards against dropping a request that was read with the one before it.
TEST_CASE("PlannedStop.RequestsThatArriveTogetherAreAllAnswered")
{
    GatewayFixture host;
    standins::StandInWorker plain(host.io, host.timers, host.store,
                                  {"p1", "plain", "z1", 8, std::chrono::milliseconds(200)});
    host.store.put("config", "main", operatorConfiguration());
    plain.announce("ready");
    host.settings.stopWithin = StopWithin;
    host.start();
    REQUIRE(host.awaitServing(1));
    const auto client = host.connect();
    client->send(request("GET", "/safe/a", "id1") + request("POST", "/unsafe/b", "id2"));
    REQUIRE(host.runUntil([&] { return plain.runs().size() == 1; }));
    bool isStopped = false;
    host.gateway->stop([&] { isStopped = true; });
    REQUIRE(host.runUntil([&] { return isStopped; }));
    CHECK(client->received().find("p1.id1") != std::string::npos);
    CHECK(client->received().find("p1.id2") != std::string::npos);
    // Only the last response announces the close.
    CHECK(client->received().find("Connection: close") > client->received().find("p1.id2"));
}

namespace {

constexpr int Tenths = 10;
constexpr auto Tenth = std::chrono::milliseconds(StopWithin) / Tenths;

// A gateway before a plain worker, which gets requests in each tenth of its stop.
struct HostStoppedUnderLoad : GatewayFixture
{
    enum class Way { Kept, New, SlowBody }; // of sending: on which connection, or in two parts
    struct Sent
    {
        std::shared_ptr<RawClient> client;
        std::string id;
        std::chrono::milliseconds at;
    };

    explicit HostStoppedUnderLoad(std::chrono::milliseconds workTime)
        : worker(io, timers, store, {"p1", "plain", "z1", 100, workTime})
    {
        store.put("config", "main", operatorConfiguration());
        worker.announce("ready");
        settings.stopWithin = StopWithin;
        start();
        REQUIRE(awaitServing(1));
        kept_.reserve(Tenths);
        for (int i = 0; i < Tenths; ++i)
            kept_.push_back(call(request("POST", "/unsafe/a", "kept" + std::to_string(i), "b")));
    }
    void stopUnderLoad()
    {
        bool isStopped = false;
        gateway->stop([&] { isStopped = true; });
        for (int tenth = 0; tenth < Tenths && !isStopped; ++tenth) {
            for (const Way way : {Way::New, Way::SlowBody, Way::Kept})
                send(way, tenth);
            runUntil([&] { return isStopped; }, Tenth);
        }
        REQUIRE(runUntil([&] { return isStopped; }));
        runFor(TimeToDeliver);
    }
    bool hasRun(const std::string &id) const
    {
        const auto &runs = worker.runs();
        return std::any_of(runs.begin(), runs.end(),
                           [&](const auto &run) { return run.requestId == id; });
    }

    standins::StandInWorker worker;
    std::vector<Sent> sent;

private:
    void send(Way way, int tenth)
    {
        const std::string id = std::to_string(int(way)) + "-" + std::to_string(tenth);
        std::shared_ptr<RawClient> client = kept_[std::size_t(tenth)];
        client->clear();
        if (way != Way::Kept) {
            try {
                client = connect();
            } catch (const asio::system_error &) {
                return; // the host no longer listens
            }
        }
        const std::string text = request("POST", "/unsafe/a", id, std::string(1000, 'b'));
        const std::size_t first = way == Way::SlowBody ? text.size() - 500 : text.size();
        client->send(text.substr(0, first));
        if (way == Way::SlowBody)
            timers.after(Tenth * 3 / 2,
                         [client, rest = text.substr(first)] { client->send(rest); });
        sent.push_back({client, id, Tenth * tenth});
    }

    std::vector<std::shared_ptr<RawClient>> kept_;
};

} // namespace

// Guards against requests that are taken late in a stop, passed on, and cut off at its end.
TEST_CASE("PlannedStop.RequestsOfEachTenthOfTheStopAreAnsweredOrNeverRun")
{
    // Requests sent earlier may outlast the host, whose outcome is unknown then.
    constexpr auto AlwaysRefusedFrom = StopWithin * 2 / 5;
    for (const auto workTime : {std::chrono::milliseconds(50), std::chrono::milliseconds(900)}) {
        HostStoppedUnderLoad host(workTime);
        host.stopUnderLoad();
        int served = 0;
        for (const HostStoppedUnderLoad::Sent &each : host.sent) {
            CAPTURE(each.id);
            CAPTURE(each.client->received());
            if (host.hasRun(each.id))
                CHECK(each.client->isComplete());
            if (each.client->status() == 503)
                CHECK_FALSE(host.hasRun(each.id));
            if (each.at >= AlwaysRefusedFrom)
                CHECK(each.client->status() != 502);
            served += each.client->status() == 200 ? 1 : 0;
        }
        CHECK(served >= 3);
    }
}
