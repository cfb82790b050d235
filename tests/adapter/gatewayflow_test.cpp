#include "gatewayfixture.h"

#include <doctest/doctest.h>

using namespace monsoongrade;
using namespace monsoongrade::platform;

namespace {

struct FlowFixture : GatewayFixture
{
    FlowFixture()
        : plain(io, timers, store, {"p1", "plain"})
        , model(io, timers, store, {"m1", "model"})
    {
        store.put("config", "main", operatorConfiguration());
        plain.announce("ready");
        model.announce("ready");
        start();
        REQUIRE(awaitServing(2));
    }

    standins::StandInWorker plain;
    standins::StandInWorker model;
};

std::string valueIn(const httpio::Headers &headers, const std::string &name)
{
    const std::string *value = httpio::findHeader(headers, name);
    return value == nullptr ? std::string() : *value;
}

} // namespace

TEST_CASE("GatewayFlow.PlainRequestGetsTheWorkersSignedResponse")
{
    FlowFixture fixture;
    const auto client = fixture.call(request("POST", "/unsafe/a?x=1", "id1", "the body"));
    CHECK(client->status() == 200);
    CHECK(client->body() == "answer of p1");
    CHECK(standins::headerIn(client->received(), "Response-Signature") == "p1.id1");
    REQUIRE(fixture.plain.runs().size() == 1);
    CHECK(fixture.plain.runs()[0].target == "/unsafe/a?x=1");
    CHECK(fixture.plain.runs()[0].body == "the body");
}

TEST_CASE("GatewayFlow.ChunkedBodyReachesTheWorkerUnchanged")
{
    FlowFixture fixture;
    const auto client = fixture.call("POST /unsafe/a HTTP/1.1\r\nHost: h.example\r\n"
                                     "Attempt-Id: id1\r\nAuthorization: Bearer k1\r\n"
                                     "Transfer-Encoding: chunked\r\n\r\n"
                                     "4\r\nabcd\r\n3\r\nefg\r\n0\r\n\r\n");
    CHECK(client->status() == 200);
    REQUIRE(fixture.plain.runs().size() == 1);
    CHECK(fixture.plain.runs()[0].body == "abcdefg");
}

TEST_CASE("GatewayFlow.StreamArrivesWholeAndInOrder")
{
    FlowFixture fixture;
    const auto client = fixture.call(request("POST", "/stream/a", "id1", "b", StreamHeaders));
    CHECK(client->status() == 200);
    CHECK(client->isComplete());
    std::size_t at = 0;
    for (int event = 1; event <= 4; ++event) {
        at = client->received().find("data: event " + std::to_string(event) + "\n\n", at);
        CHECK_MESSAGE(at != std::string::npos, "event ", event, " is missing or out of order");
    }
}

TEST_CASE("GatewayFlow.RequestsOnOneConnectionAreAnsweredInOrder")
{
    FlowFixture fixture;
    const auto client = fixture.connect();
    client->send(request("GET", "/safe/a", "id1") + request("GET", "/safe/b", "id2"));
    const auto hasBoth = [&] {
        const std::string &text = client->received();
        return text.find("p1.id1") != std::string::npos && text.find("p1.id2") != std::string::npos;
    };
    REQUIRE(fixture.runUntil(hasBoth));
    CHECK(client->received().find("p1.id1") < client->received().find("p1.id2"));
}

TEST_CASE("GatewayFlow.OnlyTheGatewaySetsItsHeaders")
{
    // A client sends its key and headers that could claim another workspace's rights or memory.
    // The worker must get the gateway's values, and never the key.
    FlowFixture fixture;
    fixture.call(request("POST", "/unsafe/a", "id1", "b",
                         "Tenant: w2\r\nExpect-Instance: other\r\nRequest-Priority: 0\r\n"
                         "Hold: h\r\nKv-From: 1.2.3.4:5/x\r\nKv-Backup: 1.2.3.4:5\r\nPin-Ms: 9\r\n"
                         "Connection: X-Private\r\nX-Private: secret\r\nX-Kept: yes\r\n"));
    REQUIRE(fixture.plain.runs().size() == 1);
    const httpio::Headers &headers = fixture.plain.runs()[0].headers;
    CHECK(valueIn(headers, "Tenant") == "w1");
    CHECK(valueIn(headers, "Expect-Instance") == "p1");
    CHECK(valueIn(headers, "Request-Priority") == "1");
    CHECK(valueIn(headers, "X-Kept") == "yes");
    for (const char *name :
         {"Hold", "Kv-From", "Kv-Backup", "Pin-Ms", "Authorization", "X-Private"})
        CHECK_MESSAGE(httpio::findHeader(headers, name) == nullptr, name, " reached the worker");
    CHECK(std::atoi(valueIn(headers, "Deadline-Ms").c_str()) <= 2500);
    CHECK(std::atoi(valueIn(headers, "Deadline-Ms").c_str()) > 2000);
}

TEST_CASE("GatewayFlow.RequestWithTwoFramingsIsRejected")
{
    // Request smuggling: a request with both a length and chunks can hide a second request in its
    // body from one of two parsers. The worker must get neither.
    FlowFixture fixture;
    const auto client
        = fixture.call("POST /unsafe/a HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: id1\r\n"
                       "Authorization: Bearer k1\r\nContent-Length: 4\r\n"
                       "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
                       + request("POST", "/unsafe/hidden", "id2"));
    CHECK(client->status() == 400);
    fixture.runFor(std::chrono::milliseconds(50));
    CHECK(fixture.plain.runs().empty());
}

TEST_CASE("GatewayFlow.UnknownRouteKeyAndLimitsAreRefusedWithTheirStatus")
{
    FlowFixture fixture;
    CHECK(fixture.call(request("GET", "/nowhere/a", "id1"))->status() == 404);
    CHECK(fixture.call(request("GET", "/safe/a", "id2", "", "", "wrong"))->status() == 401);
    CHECK(fixture.call(request("GET", "/public/a", "id3", "", "", "wrong"))->status() == 200);
    CHECK(fixture.call(request("POST", "/safe/a", "id4", std::string(100001, 'x')))->status()
          == 413);
    const std::string longHeader = "X-Long: " + std::string(9000, 'x') + "\r\n";
    CHECK(fixture.call(request("GET", "/safe/a", "id5", "", longHeader))->status() == 431);
    CHECK(fixture.plain.runs().size() == 1);
}

TEST_CASE("GatewayFlow.SlowHeadTimesOut")
{
    FlowFixture fixture;
    const auto client = fixture.connect();
    client->send("GET /safe/a HTTP/1.1\r\nHost:");
    REQUIRE(fixture.runUntil([&] { return client->status() != 0; }));
    CHECK(client->status() == 408);
}

TEST_CASE("GatewayFlow.WithoutConfigurationClientsAreToldToRetry")
{
    GatewayFixture fixture;
    fixture.start();
    const auto client = fixture.call(request("GET", "/safe/a", "id1"));
    CHECK(client->status() == 503);
    CHECK_FALSE(standins::headerIn(client->received(), "Retry-After").empty());
    CHECK(fixture.getPage(fixture.settings.readinessAddress, "/ready")->status() == 503);
}

TEST_CASE("GatewayFlow.DirectoryReturnsThisHostAndATimeToLive")
{
    FlowFixture fixture;
    const auto page = fixture.getPage(fixture.settings.directoryAddress,
                                      "/resolve?name=h.example&region=r&zone=z1");
    const auto response = nlohmann::json::parse(page->body());
    CHECK(response["addresses"] == nlohmann::json{fixture.settings.callersAddress});
    CHECK(response["ttl_s"].get<int>() == 1);
    CHECK(fixture.getPage(fixture.settings.readinessAddress, "/ready")->status() == 200);
}

TEST_CASE("GatewayFlow.ClientThatDisconnectsWhileSendingItsBodyReachesNoWorker")
{
    FlowFixture fixture;
    const auto client = fixture.connect();
    const std::string complete = request("POST", "/unsafe/a", "id1", std::string(5000, 'x'));
    client->send(complete.substr(0, complete.size() - 100));
    fixture.runFor(std::chrono::milliseconds(30));
    client->close();
    fixture.runFor(std::chrono::milliseconds(100));
    CHECK(fixture.plain.runs().empty());
}

TEST_CASE("GatewayFlow.ClientThatDisconnectsEndsItsStreamAtTheWorker")
{
    // Otherwise the worker would keep producing events that nobody reads.
    GatewayFixture fixture;
    standins::StandInWorker model(fixture.io, fixture.timers, fixture.store,
                                  {"m1", "model", "z1", 8, std::chrono::milliseconds(5), 1000});
    fixture.store.put("config", "main", operatorConfiguration());
    model.announce("ready");
    fixture.start();
    REQUIRE(fixture.awaitServing(1));
    const auto client = fixture.connect();
    client->send(request("POST", "/stream/a", "id1", "b", StreamHeaders));
    REQUIRE(fixture.runUntil([&] { return client->status() == 200; }));
    client->close();
    CHECK(fixture.runUntil([&] { return model.clientsDisconnected() == 1; },
                           std::chrono::milliseconds(500)));
}

TEST_CASE("GatewayFlow.PlannedStopFinishesOpenRequestsAndKeepsAcceptingForAWhile")
{
    // Callers cache an address for some seconds, so a stopping host must still accept requests,
    // and it must not abort a running stream.
    GatewayFixture fixture;
    standins::StandInWorker model(fixture.io, fixture.timers, fixture.store,
                                  {"m1", "model", "z1", 8, std::chrono::milliseconds(5), 60});
    standins::StandInWorker plain(fixture.io, fixture.timers, fixture.store, {"p1", "plain"});
    fixture.store.put("config", "main", operatorConfiguration());
    model.announce("ready");
    plain.announce("ready");
    fixture.start();
    REQUIRE(fixture.awaitServing(2));
    const auto stream = fixture.connect();
    stream->send(request("POST", "/stream/a", "id1", "b", StreamHeaders));
    REQUIRE(fixture.runUntil([&] { return stream->status() == 200; }));

    bool isStopped = false;
    fixture.gateway->stop([&] { isStopped = true; });
    CHECK(fixture.getPage(fixture.settings.readinessAddress, "/ready")->status() == 503);
    const auto late = fixture.call(request("GET", "/safe/a", "id2"));
    CHECK(late->status() == 200);
    CHECK(standins::headerIn(late->received(), "Connection") == "close");
    // A caller with a cached address, when nothing else is open, after half of the time to stop.
    fixture.runFor(std::chrono::milliseconds(600));
    CHECK_FALSE(isStopped);
    CHECK(fixture.call(request("GET", "/safe/a", "id3"))->status() == 200);
    REQUIRE(fixture.runUntil([&] { return isStopped; }));
    CHECK(stream->isComplete());
}

TEST_CASE("GatewayFlow.RequestDuringTheFirstReadIsServedAfterIt")
{
    // All hosts restart at once, and callers connect before the configuration is read. A refusal
    // would use up the client's retry although the configuration is known milliseconds later.
    GatewayFixture fixture;
    standins::StandInWorker worker(fixture.io, fixture.timers, fixture.store, {"p1", "plain"});
    worker.announce("ready");
    fixture.start();
    const auto client = fixture.connect();
    client->send(request("GET", "/safe/a", "id1"));
    fixture.runFor(std::chrono::milliseconds(100));
    CHECK(client->status() == 0);
    fixture.store.put("config", "main", operatorConfiguration());
    CHECK(fixture.runUntil([&] { return client->isComplete(); }, std::chrono::milliseconds(300)));
    CHECK(client->status() == 200);
}

TEST_CASE("GatewayFlow.HostWithoutConfigurationRefusesAtOnceAfterItsStart")
{
    // The store has no configuration. Requests during the first read are refused after it, later
    // ones at once; none is held until an outage ends.
    GatewayFixture fixture;
    fixture.start();
    const auto early = fixture.connect();
    early->send(request("GET", "/safe/a", "id1"));
    CHECK(fixture.runUntil([&] { return early->isComplete(); }, std::chrono::milliseconds(1000)));
    CHECK(early->status() == 503);
    const units::TimePoint sentAt = fixture.clock.now();
    CHECK(fixture.call(request("GET", "/safe/a", "id2"))->status() == 503);
    CHECK(fixture.clock.now() - sentAt < std::chrono::milliseconds(100));
}

TEST_CASE("GatewayFlow.LeavingHostTakesNothingLateThatItMayHaveToCut")
{
    // A caller with a cached address sends a request that may outlast the stop of the host. If
    // accepted, it would be aborted; refused at once, it is retried elsewhere. A request that must
    // end before the stop is still served.
    GatewayFixture fixture;
    standins::StandInWorker model(fixture.io, fixture.timers, fixture.store, {"m1", "model"});
    fixture.store.put("config", "main", operatorConfiguration());
    model.announce("ready");
    fixture.settings.stopWithin = std::chrono::seconds(3);
    fixture.start();
    REQUIRE(fixture.awaitServing(1));
    bool hasStopped = false;
    fixture.gateway->stop([&] { hasStopped = true; });
    const auto early = fixture.call(request("POST", "/stream/a", "id1", "b", StreamHeaders));
    CHECK(early->status() == 200);
    fixture.runFor(std::chrono::milliseconds(1200));
    const auto late = fixture.call(request("POST", "/stream/a", "id2", "b", StreamHeaders));
    CHECK(late->status() == 503);
    CHECK(late->received().find("Retry-After") != std::string::npos);
    std::string shortRequest = request("POST", "/stream/a", "id3", "b", StreamHeaders);
    shortRequest.replace(shortRequest.find("Deadline-Ms: 2500"), 17, "Deadline-Ms: 900");
    CHECK(fixture.call(shortRequest)->status() == 200);
    CHECK(model.runs().size() == 2);
    CHECK(fixture.runUntil([&] { return hasStopped; }, std::chrono::seconds(3)));
}
