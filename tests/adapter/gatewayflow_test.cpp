#include "gatewayworld.h"

#include <doctest/doctest.h>

using namespace monsoongrade;
using namespace monsoongrade::platform;

namespace {

struct FlowWorld : GatewayWorld
{
    FlowWorld()
        : plain(io, timers, store, {"p1", "plain"})
        , model(io, timers, store, {"m1", "model"})
    {
        store.put("config", "main", operatorsConfiguration());
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

TEST_CASE("GatewayFlow.PlainRequestGetsTheWorkersSignedAnswer")
{
    FlowWorld world;
    const auto client = world.call(request("POST", "/unsafe/a?x=1", "id1", "the body"));
    CHECK(client->status() == 200);
    CHECK(client->body() == "answer of p1");
    CHECK(standins::headerIn(client->received(), "Response-Signature") == "p1.id1");
    REQUIRE(world.plain.runs().size() == 1);
    CHECK(world.plain.runs()[0].target == "/unsafe/a?x=1");
    CHECK(world.plain.runs()[0].body == "the body");
}

TEST_CASE("GatewayFlow.ChunkedBodyReachesTheWorkerUnchanged")
{
    FlowWorld world;
    const auto client = world.call("POST /unsafe/a HTTP/1.1\r\nHost: h.example\r\n"
                                   "Attempt-Id: id1\r\nAuthorization: Bearer k1\r\n"
                                   "Transfer-Encoding: chunked\r\n\r\n"
                                   "4\r\nabcd\r\n3\r\nefg\r\n0\r\n\r\n");
    CHECK(client->status() == 200);
    REQUIRE(world.plain.runs().size() == 1);
    CHECK(world.plain.runs()[0].body == "abcdefg");
}

TEST_CASE("GatewayFlow.StreamArrivesWholeAndInOrder")
{
    FlowWorld world;
    const auto client = world.call(request("POST", "/stream/a", "id1", "b", StreamHeaders));
    CHECK(client->status() == 200);
    CHECK(client->isWhole());
    std::size_t at = 0;
    for (int event = 1; event <= 4; ++event) {
        at = client->received().find("data: event " + std::to_string(event) + "\n\n", at);
        CHECK_MESSAGE(at != std::string::npos, "event ", event, " is missing or out of order");
    }
}

TEST_CASE("GatewayFlow.RequestsOnOneConnectionAreAnsweredInTurn")
{
    FlowWorld world;
    const auto client = world.connect();
    client->send(request("GET", "/safe/a", "id1") + request("GET", "/safe/b", "id2"));
    const auto hasBoth = [&] {
        const std::string &text = client->received();
        return text.find("p1.id1") != std::string::npos && text.find("p1.id2") != std::string::npos;
    };
    REQUIRE(world.runUntil(hasBoth));
    CHECK(client->received().find("p1.id1") < client->received().find("p1.id2"));
}

TEST_CASE("GatewayFlow.OnlyTheGatewaySetsItsHeaders")
{
    // A client sends headers with which it could claim another workspace's rights or memory, and
    // its key. The worker must see the gateway's values, and never the key.
    FlowWorld world;
    world.call(request("POST", "/unsafe/a", "id1", "b",
                       "Tenant: w2\r\nExpect-Instance: other\r\nRequest-Priority: 0\r\n"
                       "Hold: h\r\nKv-From: 1.2.3.4:5/x\r\nKv-Backup: 1.2.3.4:5\r\nPin-Ms: 9\r\n"
                       "Connection: X-Private\r\nX-Private: secret\r\nX-Kept: yes\r\n"));
    REQUIRE(world.plain.runs().size() == 1);
    const httpio::Headers &headers = world.plain.runs()[0].headers;
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
    // A request with both a length and chunks can hide a second request in its body from one of
    // two parsers. The worker must see neither.
    FlowWorld world;
    const auto client
        = world.call("POST /unsafe/a HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: id1\r\n"
                     "Authorization: Bearer k1\r\nContent-Length: 4\r\n"
                     "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
                     + request("POST", "/unsafe/hidden", "id2"));
    CHECK(client->status() == 400);
    world.runFor(std::chrono::milliseconds(50));
    CHECK(world.plain.runs().empty());
}

TEST_CASE("GatewayFlow.UnknownRouteKeyAndLimitsAreRefusedWithTheirStatus")
{
    FlowWorld world;
    CHECK(world.call(request("GET", "/nowhere/a", "id1"))->status() == 404);
    CHECK(world.call(request("GET", "/safe/a", "id2", "", "", "wrong"))->status() == 401);
    CHECK(world.call(request("GET", "/public/a", "id3", "", "", "wrong"))->status() == 200);
    CHECK(world.call(request("POST", "/safe/a", "id4", std::string(100001, 'x')))->status() == 413);
    const std::string longHeader = "X-Long: " + std::string(9000, 'x') + "\r\n";
    CHECK(world.call(request("GET", "/safe/a", "id5", "", longHeader))->status() == 431);
    CHECK(world.plain.runs().size() == 1);
}

TEST_CASE("GatewayFlow.SlowHeadTimesOut")
{
    FlowWorld world;
    const auto client = world.connect();
    client->send("GET /safe/a HTTP/1.1\r\nHost:");
    REQUIRE(world.runUntil([&] { return client->status() != 0; }));
    CHECK(client->status() == 408);
}

TEST_CASE("GatewayFlow.WithoutConfigurationClientsAreToldToComeBack")
{
    GatewayWorld world;
    world.start();
    const auto client = world.call(request("GET", "/safe/a", "id1"));
    CHECK(client->status() == 503);
    CHECK_FALSE(standins::headerIn(client->received(), "Retry-After").empty());
    CHECK(world.callPage(world.settings.readinessAddress, "/ready")->status() == 503);
}

TEST_CASE("GatewayFlow.DirectoryNamesThisHostAndTheTimeToKeepIt")
{
    FlowWorld world;
    const auto page = world.callPage(world.settings.directoryAddress,
                                     "/resolve?name=h.example&region=r&zone=z1");
    const auto answer = nlohmann::json::parse(page->body());
    CHECK(answer["addresses"] == nlohmann::json{world.settings.callersAddress});
    CHECK(answer["ttl_s"].get<int>() == 1);
    CHECK(world.callPage(world.settings.readinessAddress, "/ready")->status() == 200);
}

TEST_CASE("GatewayFlow.ClientThatLeavesWhileItsBodyArrivesReachesNoWorker")
{
    FlowWorld world;
    const auto client = world.connect();
    const std::string whole = request("POST", "/unsafe/a", "id1", std::string(5000, 'x'));
    client->send(whole.substr(0, whole.size() - 100));
    world.runFor(std::chrono::milliseconds(30));
    client->close();
    world.runFor(std::chrono::milliseconds(100));
    CHECK(world.plain.runs().empty());
}

TEST_CASE("GatewayFlow.ClientThatLeavesEndsItsStreamAtTheWorker")
{
    // The worker would go on producing events that nobody reads.
    GatewayWorld world;
    standins::StandInWorker model(world.io, world.timers, world.store,
                                  {"m1", "model", "z1", 8, std::chrono::milliseconds(5), 1000});
    world.store.put("config", "main", operatorsConfiguration());
    model.announce("ready");
    world.start();
    REQUIRE(world.awaitServing(1));
    const auto client = world.connect();
    client->send(request("POST", "/stream/a", "id1", "b", StreamHeaders));
    REQUIRE(world.runUntil([&] { return client->status() == 200; }));
    client->close();
    CHECK(world.runUntil([&] { return model.clientsGone() == 1; }, std::chrono::milliseconds(500)));
}

TEST_CASE("GatewayFlow.PlannedStopFinishesWhatIsOpenAndAcceptsForAWhile")
{
    // Callers keep an address for some seconds, so a leaving host must still take requests, and it
    // must not cut a stream that runs.
    GatewayWorld world;
    standins::StandInWorker model(world.io, world.timers, world.store,
                                  {"m1", "model", "z1", 8, std::chrono::milliseconds(5), 60});
    standins::StandInWorker plain(world.io, world.timers, world.store, {"p1", "plain"});
    world.store.put("config", "main", operatorsConfiguration());
    model.announce("ready");
    plain.announce("ready");
    world.start();
    REQUIRE(world.awaitServing(2));
    const auto stream = world.connect();
    stream->send(request("POST", "/stream/a", "id1", "b", StreamHeaders));
    REQUIRE(world.runUntil([&] { return stream->status() == 200; }));

    bool isStopped = false;
    world.gateway->stop([&] { isStopped = true; });
    CHECK(world.callPage(world.settings.readinessAddress, "/ready")->status() == 503);
    const auto late = world.call(request("GET", "/safe/a", "id2"));
    CHECK(late->status() == 200);
    CHECK(standins::headerIn(late->received(), "Connection") == "close");
    // A caller with a kept address, when nothing is open any more: half of the time to stop.
    world.runFor(std::chrono::milliseconds(600));
    CHECK_FALSE(isStopped);
    CHECK(world.call(request("GET", "/safe/a", "id3"))->status() == 200);
    REQUIRE(world.runUntil([&] { return isStopped; }));
    CHECK(stream->isWhole());
}

TEST_CASE("GatewayFlow.RequestThatArrivesDuringTheFirstReadIsServedWhenItIsDone")
{
    // All hosts were killed and start again; callers connect before the configuration is read.
    // A refusal would use up the client's retry for something that is known milliseconds later.
    GatewayWorld world;
    standins::StandInWorker worker(world.io, world.timers, world.store, {"p1", "plain"});
    worker.announce("ready");
    world.start();
    const auto client = world.connect();
    client->send(request("GET", "/safe/a", "id1"));
    world.runFor(std::chrono::milliseconds(100));
    CHECK(client->status() == 0);
    world.store.put("config", "main", operatorsConfiguration());
    CHECK(world.runUntil([&] { return client->isWhole(); }, std::chrono::milliseconds(300)));
    CHECK(client->status() == 200);
}

TEST_CASE("GatewayFlow.HostThatFindsNoConfigurationRefusesAtOnceAfterItsStart")
{
    // There is none to read. Requests of the first moment are refused when it is over, later ones
    // at once; nobody waits for an outage to end.
    GatewayWorld world;
    world.start();
    const auto early = world.connect();
    early->send(request("GET", "/safe/a", "id1"));
    CHECK(world.runUntil([&] { return early->isWhole(); }, std::chrono::milliseconds(1000)));
    CHECK(early->status() == 503);
    const units::TimePoint sentAt = world.clock.now();
    CHECK(world.call(request("GET", "/safe/a", "id2"))->status() == 503);
    CHECK(world.clock.now() - sentAt < std::chrono::milliseconds(100));
}

TEST_CASE("GatewayFlow.LeavingHostTakesNothingLateThatItMayHaveToCut")
{
    // The host got SIGTERM a while ago. A caller with an old address sends a request that may run
    // beyond the stop: taken, it would be cut in the middle; refused at once, it goes elsewhere.
    // One that must end before the stop is still served.
    GatewayWorld world;
    standins::StandInWorker model(world.io, world.timers, world.store, {"m1", "model"});
    world.store.put("config", "main", operatorsConfiguration());
    model.announce("ready");
    world.settings.stopWithin = std::chrono::seconds(3);
    world.start();
    REQUIRE(world.awaitServing(1));
    bool hasStopped = false;
    world.gateway->stop([&] { hasStopped = true; });
    const auto early = world.call(request("POST", "/stream/a", "id1", "b", StreamHeaders));
    CHECK(early->status() == 200);
    world.runFor(std::chrono::milliseconds(1200));
    const auto late = world.call(request("POST", "/stream/a", "id2", "b", StreamHeaders));
    CHECK(late->status() == 503);
    CHECK(late->received().find("Retry-After") != std::string::npos);
    std::string shortRequest = request("POST", "/stream/a", "id3", "b", StreamHeaders);
    shortRequest.replace(shortRequest.find("Deadline-Ms: 2500"), 17, "Deadline-Ms: 900");
    CHECK(world.call(shortRequest)->status() == 200);
    CHECK(model.runs().size() == 2);
    CHECK(world.runUntil([&] { return hasStopped; }, std::chrono::seconds(3)));
}
