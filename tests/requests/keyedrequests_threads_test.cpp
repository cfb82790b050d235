#include <requests/fakedirectory.h>
#include <requests/faultystore.h>
#include <requests/recordingresponder.h>

#include <monsoongrade/requests/keyedrequests.h>
#include <monsoongrade/requests/openrequests.h>
#include <monsoongrade/requests/workerpool.h>
#include <monsoongrade/timing/threaddelayer.h>
#include <monsoongrade/units/steadyclock.h>
#include <requests/unreachableholders.h>

#include <doctest/doctest.h>

namespace monsoongrade::requests {

namespace {

constexpr std::size_t Callers = 4;
constexpr std::size_t Keys = 50;

// Grants at once, on a thread of its own.
class GrantingSource : public scheduling::SlotSource
{
public:
    void ask(const scheduling::SlotAsk &ask,
             std::shared_ptr<scheduling::SlotListener> listener) override
    {
        pool_.tryPost([ask, listener = std::move(listener), id = ++granted] {
            listener->slotGranted(
                {units::GrantId(id), ask.request, ask.router, units::EndpointId("e")});
        });
    }
    void cancel(const scheduling::SlotAsk &) override { }
    void release(const scheduling::SlotGrant &, const scheduling::SlotRelease &) override
    {
        ++released;
    }

    std::atomic<std::uint64_t> granted{0};
    std::atomic<std::uint64_t> released{0};

private:
    WorkerPool pool_{1, 10000};
};

// Answers each call at once, on threads of its own.
class AnsweringClient : public endpoints::EndpointClient
{
public:
    endpoints::CallId start(endpoints::EndpointRequest request,
                            std::shared_ptr<endpoints::EndpointListener> listener) override
    {
        pool_.tryPost([body = request.body, listener = std::move(listener)] {
            listener->answerHead(200, {{"content-length", std::to_string(body.size())}});
            listener->answerBody(body);
            listener->answerEnd({});
        });
        return ++calls;
    }
    void resume(endpoints::CallId) override { }
    void cancel(endpoints::CallId) override { }

    std::atomic<std::uint64_t> calls{0};

private:
    WorkerPool pool_{2, 10000};
};

// The fake store is for one thread.
class LockedStore : public FaultyStore
{
public:
    units::Result<platform::StoredObject> get(const std::string &name) override
    {
        const std::lock_guard lock(mutex_);
        return FaultyStore::get(name);
    }
    units::Result<platform::ObjectVersion> createIfAbsent(const std::string &name,
                                                          const std::string &value) override
    {
        const std::lock_guard lock(mutex_);
        return FaultyStore::createIfAbsent(name, value);
    }

private:
    std::mutex mutex_;
};

} // namespace

// Four callers send the same fifty keys at the same moment to one router, whose events come on
// several threads. Each key must run once and every caller get its answer.
TEST_CASE("KeyedRequests.CallersOnManyThreadsRunEachKeyOnce")
{
    const units::SteadyClock clock;
    observability::Metrics metrics;
    DecisionLog decisions;
    RetryBudget retries;
    OpenRequests open(1000);
    LockedStore store;
    ClaimStore claims(store, clock, metrics);
    timing::ThreadDelayer delayer;
    UnreachableHolders holders(delayer);
    auto configuration = std::make_shared<configuration::Configuration>();
    GrantingSource slots;
    AnsweringClient client;
    const FakeDirectory directory({"e"});
    const FlowServices services{clock,     slots,   client,
                                directory, metrics, decisions,
                                retries,   delayer, units::DaemonId("a.router.1")};
    WorkerPool worker(2, 10000);
    KeyedRequests keyed(services, claims, holders, worker, {});

    std::vector<std::shared_ptr<RecordingResponder>> responders(Callers * Keys);
    std::vector<std::thread> callers;
    callers.reserve(Callers);
    for (std::size_t caller = 0; caller < Callers; ++caller) {
        callers.emplace_back([&, caller] {
            for (std::size_t key = 0; key < Keys; ++key) {
                ClassifiedRequest request;
                request.id = units::RequestId(std::to_string(caller * Keys + key));
                request.run = configuration::RunRule::AtMostOnce;
                request.idempotencyKey = units::IdempotencyKey("k" + std::to_string(key));
                request.body = "body " + std::to_string(key);
                request.configuration = configuration;
                auto ticket = units::capture([&] { return open.open(request); });
                RequestAccount account(services, request, *ticket.value);
                ticket.value.reset();
                account.accept();
                auto &responder = responders[caller * Keys + key];
                responder = std::make_shared<RecordingResponder>();
                keyed.handle(std::move(request), std::move(account), responder);
            }
        });
    }
    for (std::thread &caller : callers)
        caller.join();
    for (int i = 0; i < 1000 && (open.total() > 0 || slots.released < Keys); ++i)
        std::this_thread::sleep_for(std::chrono::milliseconds(10));

    CHECK(open.total() == 0);
    CHECK(client.calls == Keys);
    CHECK(slots.released == slots.granted);
    for (std::size_t i = 0; i < Callers * Keys; ++i)
        CHECK(responders[i]->body == "body " + std::to_string(i % Keys));
}

} // namespace monsoongrade::requests
