#include <requests/keyedworld.h>

#include <algorithm>

namespace monsoongrade::requests {

using units::ResultCode;

namespace {

constexpr std::size_t RouterCount = 3;
constexpr std::size_t MostCallers = 10;
constexpr std::size_t MostCallersOfSweeper = 60;
const ClaimTimes Times;

// All claims are one part.
SweepSettings sweepSettings()
{
    SweepSettings settings;
    settings.digits = 0;
    return settings;
}

} // namespace

KeyedWorld::Router::Router(const std::string &daemon, KeyedWorld &world, units::Duration clockAhead)
    : fixture(0.1, 20, daemon)
    , claims(world.store_, claimClock, fixture.metrics, Times)
    , sweeper(world.store_, claims, claimClock, fixture.metrics, Times, sweepSettings(), 0)
    , keyed(fixture.services, claims, world, worker, {1600, 1024 * 1024, std::chrono::minutes(10)})
{
    fixture.prefix = daemon + "-";
    claimClock.advance(clockAhead);
}

KeyedWorld::KeyedWorld()
{
    for (std::size_t i = 0; i < RouterCount; ++i)
        routers_.push_back(std::make_unique<Router>("h" + std::to_string(i) + ".router.0", *this,
                                                    std::chrono::hours(100 * i)));
}

KeyedWorld::~KeyedWorld()
{
    // What is still under way ends while all that it reaches stands.
    for (auto *group : {&routers_, &dead_}) {
        for (const auto &router : *group)
            router->fixture.dropFlows();
    }
}

void KeyedWorld::apply(const KeyedCommand &command)
{
    const std::size_t place = static_cast<std::size_t>(command.router) % RouterCount;
    const auto which = static_cast<std::size_t>(command.which);
    Router &router = *routers_[place];
    auto &asks = router.fixture.slots.asks;
    switch (command.kind) {
    case KeyedCommand::Send:
        return send(router, units::IdempotencyKey("key" + std::to_string(which % 2)));
    case KeyedCommand::SendIssued:
        if (issued_.empty() || which % 3 == 0)
            issued_.push_back(router.keyed.issue());
        return send(router, issued_[which % issued_.size()]);
    case KeyedCommand::Work:
        if (!router.worker.waiting.empty()) {
            const auto function = std::move(router.worker.waiting.front());
            router.worker.waiting.pop_front();
            function();
        }
        return;
    case KeyedCommand::Grant:
        if (!asks.empty())
            router.fixture.slots.grant(which % asks.size(), "e1");
        return;
    case KeyedCommand::RefuseAsk:
        if (!asks.empty())
            router.fixture.slots.refuse(which % asks.size());
        return;
    case KeyedCommand::DeliverQuestion:
    case KeyedCommand::LoseQuestion:
        if (!questions_.empty())
            deliverQuestion(which % questions_.size(), command.kind == KeyedCommand::LoseQuestion);
        return;
    case KeyedCommand::DeliverReply:
        for (const auto &reply : std::exchange(replies_, {}))
            reply();
        return;
    case KeyedCommand::SetFault:
        store_.fault = command.which % FaultyStore::FaultCount;
        return;
    case KeyedCommand::Land:
        return store_.land();
    case KeyedCommand::Restart:
        // Whoever waits for its reply sees the connection break.
        for (const auto &[holder, reply] : asked_) {
            if (holder == router.fixture.services.self)
                reply({});
        }
        dead_.push_back(std::move(routers_[place]));
        ++lives_;
        routers_[place] = std::make_unique<Router>("h" + std::to_string(place) + ".router."
                                                       + std::to_string(lives_),
                                                   *this, std::chrono::hours(7 * lives_));
        return;
    case KeyedCommand::Wait:
        pass(std::chrono::seconds(command.which * 100));
        router.fixture.clock.advance(std::chrono::seconds(command.which * 100));
        return router.fixture.delayer.runAll();
    case KeyedCommand::Leave:
        if (!callers_.empty()) {
            callers_[which % callers_.size()].left = true;
            callers_[which % callers_.size()].responder->leave();
        }
        return;
    default:
        if (command.kind >= KeyedCommand::KindCount)
            passTime(router, command);
        else
            actOnCall(router, command);
    }
}

void KeyedWorld::passTime(Router &router, const KeyedCommand &command)
{
    const auto which = static_cast<std::size_t>(command.which);
    switch (command.kind) {
    case KeyedCommand::Sleep:
        return pass(which * Times.epoch() / 2);
    case KeyedCommand::Sweep:
        sweeps_ = true;
        return sweep(router);
    case KeyedCommand::PassEpochs:
        sweeps_ = true;
        for (std::size_t i = 0; i < 2 * which; ++i) {
            pass(Times.epoch());
            for (int steps = 0; steps < 6; ++steps) {
                pass(std::chrono::seconds(1));
                sweep(router);
            }
        }
        return;
    case KeyedCommand::SweepLate:
        // Writes of this pass take effect at the next Land.
        sweeps_ = true;
        store_.fault = FaultyStore::Delayed;
        pass(5 * Times.epoch());
        for (int steps = 0; steps < 6; ++steps) {
            pass(std::chrono::seconds(1));
            sweep(router);
        }
        store_.fault = FaultyStore::None;
        return;
    case KeyedCommand::RunKey:
        sweeps_ = true;
        for (const int kind : {KeyedCommand::Send, KeyedCommand::Work, KeyedCommand::Grant})
            apply({kind, command.router, command.which});
        for (std::size_t call = 0; call < router.fixture.client.calls.size(); ++call)
            apply({KeyedCommand::Finish, command.router, static_cast<int>(call)});
        return;
    case KeyedCommand::ReadStale:
        store_.staleReads = command.which;
        return;
    default:
        return;
    }
}

void KeyedWorld::send(Router &router, const units::IdempotencyKey &key)
{
    if (callers_.size() >= (sweeps_ ? MostCallersOfSweeper : MostCallers))
        return;
    ClassifiedRequest request = router.fixture.request(configuration::RunRule::AtMostOnce);
    request.idempotencyKey = key;
    request.headers.emplace_back("test-key", key.value());
    const auto responder = std::make_shared<RecordingResponder>();
    auto ticket = units::capture([&] { return router.fixture.open.open(request); });
    RequestAccount account(router.fixture.services, request, *ticket.value);
    ticket.value.reset();
    account.accept();
    callers_.push_back({responder, key.value(), &router, false});
    router.keyed.handle(std::move(request), std::move(account), responder);
}

void KeyedWorld::actOnCall(Router &router, const KeyedCommand &command)
{
    auto &calls = router.fixture.client.calls;
    if (calls.empty())
        return;
    const std::size_t call = static_cast<std::size_t>(command.which) % calls.size();
    if (router.callEnded[call])
        return;
    const auto listener = calls[call].listener;
    const std::string id = calls[call].header("monsoongrade-request-id");
    if (command.kind == KeyedCommand::Unreachable) {
        if (calls[call].begun)
            return;
        router.callEnded[call] = true;
        listener->answerEnd({ResultCode::EndpointUnreachable, false, ""});
        return;
    }
    if (!runCall(router, call)) {
        router.callEnded[call] = true;
        listener->answerEnd({ResultCode::WaitedTooLong, false, ""});
        return;
    }
    if (command.kind == KeyedCommand::Run)
        return;
    router.callEnded[call] = true;
    if (command.kind == KeyedCommand::Finish) {
        const std::string body = "answer of " + id;
        listener->answerHead(200, {{"content-length", std::to_string(body.size())}});
        listener->answerBody(body);
        listener->answerEnd({});
    } else {
        listener->answerEnd({ResultCode::EndpointBrokeBeforeAnswer, true, ""});
    }
}

// Counted once a call, when the endpoint begins to run it.
bool KeyedWorld::runCall(Router &router, std::size_t call)
{
    auto &made = router.fixture.client.calls[call];
    if (!made.begun && made.request.maySend && !made.request.maySend())
        return false;
    if (std::exchange(made.begun, true))
        return true;
    const std::string id = made.header("monsoongrade-request-id");
    ++runsByRequest_[id];
    runsByKey_[made.header("test-key")].push_back({now_, "answer of " + id});
    return true;
}

void KeyedWorld::sweep(Router &router)
{
    for (const auto &one : routers_)
        one->sweeper.step(one.get() == &router ? SweepShare{0, 1} : SweepShare{});
}

// Clocks show different times and go at one pace.
void KeyedWorld::pass(units::Duration time)
{
    now_ += time;
    for (const auto &router : routers_)
        router->claimClock.advance(time);
}

void KeyedWorld::ask(const HolderQuestion &question, ReplyHandler reply)
{
    questions_.emplace_back(question, std::move(reply));
}

void KeyedWorld::deliverQuestion(std::size_t index, bool lost)
{
    const auto [question, reply] = questions_[index];
    questions_.erase(questions_.begin() + static_cast<std::ptrdiff_t>(index));
    Router *holder = alive(question.holder);
    const auto replied = std::make_shared<bool>(false);
    const auto replyLater = [this, replied, handler = reply](const HolderReply &known) {
        if (!std::exchange(*replied, true))
            replies_.push_back([handler, known] { handler(known); });
    };
    if (holder != nullptr && !lost) {
        asked_.emplace_back(question.holder, replyLater);
        holder->keyed.answerPeer(question, replyLater);
        return;
    }
    // The question may have been heard even though its reply is lost.
    if (holder != nullptr)
        holder->keyed.answerPeer(question, [](const HolderReply &) {});
    replyLater({});
}

KeyedWorld::Router *KeyedWorld::alive(const units::DaemonId &daemon)
{
    for (const auto &router : routers_) {
        if (router->fixture.services.self == daemon)
            return router.get();
    }
    return nullptr;
}

void KeyedWorld::settle()
{
    store_.fault = FaultyStore::None;
    store_.land();
    for (int round = 0; round < 12; ++round) {
        for (int place = 0; place < static_cast<int>(RouterCount); ++place) {
            const std::size_t calls = routers_[place]->fixture.client.calls.size();
            apply({KeyedCommand::Wait, place, 0});
            while (!routers_[place]->worker.waiting.empty())
                apply({KeyedCommand::Work, place, 0});
            while (!routers_[place]->fixture.slots.asks.empty())
                apply({KeyedCommand::Grant, place, 0});
            for (std::size_t call = 0; call < calls; ++call)
                apply({KeyedCommand::Finish, place, static_cast<int>(call)});
        }
        while (!questions_.empty())
            apply({KeyedCommand::DeliverQuestion, 0, 0});
        apply({KeyedCommand::DeliverReply, 0, 0});
    }
    settled_ = true;
}

bool KeyedWorld::isAnswerOfARun(const std::string &key, const std::string &body) const
{
    const auto runs = runsByKey_.find(key);
    return runs != runsByKey_.end()
        && std::any_of(runs->second.begin(), runs->second.end(),
                       [&body](const Run &run) { return run.answer == body; });
}

std::string KeyedWorld::violation() const
{
    for (const auto &[key, runs] : runsByKey_) {
        if (!sweeps_ && runs.size() > 1)
            return key + " ran " + std::to_string(runs.size()) + " times";
        for (std::size_t i = 1; i < runs.size(); ++i) {
            if (runs[i].begun - runs[i - 1].begun < Times.kept)
                return key + " ran twice within the kept time";
        }
    }
    std::map<std::string, std::string> answers;
    for (const Caller &caller : callers_) {
        const RecordingResponder &got = *caller.responder;
        const auto runs = runsByRequest_.find(got.header("monsoongrade-request-id"));
        if (got.ends > 1)
            return caller.key + ": a caller got " + std::to_string(got.ends) + " ends";
        if (got.header("monsoongrade-run-state") == "not-run" && runs != runsByRequest_.end())
            return caller.key + ": said to be not run, but ran";
        if (got.status == 200 && !isAnswerOfARun(caller.key, got.body))
            return caller.key + ": a caller's answer is of no run of its key";
        // Once claims go, a key may run anew after the kept time and its callers differ rightly.
        if (!sweeps_ && got.status == 200
            && answers.emplace(caller.key, got.body).first->second != got.body)
            return caller.key + ": two callers have different answers";
    }
    for (const auto &router : routers_) {
        const FlowFixture &fixture = router->fixture;
        const std::int64_t ended = fixture.sum("monsoongrade_requests_completed_total")
            + fixture.sum("monsoongrade_requests_refused_total")
            + fixture.sum("monsoongrade_requests_failed_total");
        const auto open = static_cast<std::int64_t>(fixture.open.total());
        if (fixture.sum("monsoongrade_requests_accepted_total") != ended + open)
            return "accounts don't close: ended " + std::to_string(ended) + ", open "
                + std::to_string(open);
        if (settled_ && open != 0)
            return std::to_string(open) + " never ended at "
                + router->fixture.services.self.value();
    }
    return {};
}

} // namespace monsoongrade::requests
