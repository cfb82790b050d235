#include <requests/faultystore.h>
#include <requests/flowfixture.h>
#include <requests/keyedworld.h>

#include <doctest/doctest.h>

namespace monsoongrade::requests {

namespace {

class NobodyAsked : public KeyHolderClient
{
public:
    void ask(const HolderQuestion &question, ReplyHandler reply) override
    {
        asked.push_back(question);
        replies.push_back(std::move(reply));
    }
    std::vector<HolderQuestion> asked;
    std::vector<ReplyHandler> replies;
};

struct KeyedFixture : FlowFixture
{
    ~KeyedFixture() { dropFlows(); }

    std::shared_ptr<RecordingResponder> send(const std::string &key, const std::string &body = "")
    {
        ClassifiedRequest classified = request(configuration::RunRule::AtMostOnce);
        classified.idempotencyKey = units::IdempotencyKey(key);
        classified.body = body;
        auto responder = std::make_shared<RecordingResponder>();
        RequestAccount account(services, classified, nullptr);
        account.accept();
        keyed.handle(std::move(classified), std::move(account), responder);
        while (!worker.waiting.empty()) {
            const auto function = std::move(worker.waiting.front());
            worker.waiting.pop_front();
            function();
        }
        return responder;
    }
    void answerCall(std::size_t call, const std::string &body)
    {
        const auto listener = client.calls[call].listener;
        listener->answerHead(200, {{"content-length", std::to_string(body.size())}});
        listener->answerBody(body);
        listener->answerEnd({});
    }

    FaultyStore store;
    ClaimStore claims{store, clock, metrics};
    NobodyAsked holders;
    ManualWorker worker;
    KeyedRequests keyed{services, claims, holders, worker, {}};
};

} // namespace

TEST_CASE("KeyedRequests.FirstUseOfAKeyCostsOneWriteAndARepeatNone")
{
    KeyedFixture fixture;
    const auto first = fixture.send("k");
    CHECK(fixture.store.writes == 1);
    CHECK(fixture.store.reads == 0);
    const auto running = fixture.send("k");
    fixture.slots.grant(0, "e1");
    fixture.answerCall(0, "tag 7");
    const auto late = fixture.send("k");
    for (const auto &caller : {first, running, late})
        CHECK(caller->body == "tag 7");
    CHECK(fixture.store.writes == 1);
    CHECK(fixture.client.calls.size() == 1);
}

// The platform's store is down for an hour. Callers with a key must learn at once that nothing
// ran and when to come back; those with a key that the router handed out are served.
TEST_CASE("KeyedRequests.OutageRefusesAtOnceButNotKeysThatTheRouterHandedOut")
{
    KeyedFixture fixture;
    fixture.store.fault = FaultyStore::Down;
    CHECK(fixture.send("a")->header("monsoongrade-run-state") == "not-run");
    const int calls = fixture.store.writes + fixture.store.reads;
    const auto second = fixture.send("b");
    CHECK(second->status == 503);
    CHECK_FALSE(second->header("Retry-After").empty());
    CHECK(fixture.store.writes + fixture.store.reads == calls);

    const std::string issued = fixture.keyed.issue().value();
    const auto voucher = fixture.send(issued);
    fixture.slots.grant(0, "e1");
    fixture.answerCall(0, "confirmed");
    CHECK(voucher->body == "confirmed");
    CHECK(fixture.send(issued)->body == "confirmed");
    CHECK(fixture.client.calls.size() == 1);
    CHECK(fixture.store.writes + fixture.store.reads == calls);
}

// The router may forget a key that it handed out once the key's time is over. A late first use and
// a late repeat then look the same, so neither may run.
TEST_CASE("KeyedRequests.HandedOutKeyBeyondItsTimeDoesNotRun")
{
    KeyedFixture fixture;
    const std::string issued = fixture.keyed.issue().value();
    fixture.clock.advance(KeyedRequests::KeyLifetime);
    CHECK(fixture.send(issued)->header("monsoongrade-run-state") == "unknown");
    CHECK(fixture.slots.asks.empty());
}

TEST_CASE("KeyedRequests.KeyOfAnotherRequestIsRefused")
{
    KeyedFixture fixture;
    fixture.send("k", "tag 7");
    const auto other = fixture.send("k", "tag 8");
    CHECK(other->status == 409);
    CHECK(other->body.find("1007") != std::string::npos);
    CHECK(fixture.slots.asks.size() == 1);
}

// The router that holds the key has died in the middle of the run. Nobody can tell whether the
// voucher was confirmed, so the repeat elsewhere is told that and runs nothing.
TEST_CASE("KeyedRequests.HolderThatIsGoneMakesTheOutcomeUnknown")
{
    KeyedFixture fixture;
    KeyedFixture other;
    fixture.send("k");
    other.store.objects = fixture.store.objects;
    other.store.objects.begin()->second.value
        = toText({units::RequestId("x"), units::DaemonId("gone.router.1"),
                  parseClaim(other.store.objects.begin()->second.value).value().fingerprint});
    const auto repeat = other.send("k");
    REQUIRE(other.holders.asked.size() == 1);
    CHECK(other.holders.asked[0].holder == units::DaemonId("gone.router.1"));
    other.holders.replies[0]({});
    CHECK(repeat->body.find("3006") != std::string::npos);
    CHECK(repeat->header("monsoongrade-run-state") == "unknown");
    CHECK(other.slots.asks.empty());
}

// A caller that loses its connection comes back with its key for the answer, so the run goes on.
TEST_CASE("KeyedRequests.RunGoesOnWhenItsCallerLeaves")
{
    KeyedFixture fixture;
    const auto caller = fixture.send("k");
    fixture.slots.grant(0, "e1");
    caller->leave();
    CHECK_FALSE(fixture.client.calls[0].cancelled);
    fixture.answerCall(0, "tag 7");
    CHECK(fixture.send("k")->body == "tag 7");
}

} // namespace monsoongrade::requests
