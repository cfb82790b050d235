#ifndef MONSOONGRADE_TESTS_REQUESTS_KEYEDWORLD_H
#define MONSOONGRADE_TESTS_REQUESTS_KEYEDWORLD_H

#include <requests/faultystore.h>
#include <requests/flowfixture.h>

#include <monsoongrade/requests/claimsweeper.h>
#include <monsoongrade/requests/keyedrequests.h>

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace monsoongrade::requests {

// One command of the fuzzer: on a router, with a number that picks what it acts on.
struct KeyedCommand
{
    enum Kind {
        Send,
        SendIssued,
        Work,
        Grant,
        RefuseAsk,
        Unreachable,
        Run,
        Finish,
        Break,
        DeliverQuestion,
        LoseQuestion,
        DeliverReply,
        SetFault,
        Land,
        Restart,
        Wait,
        Leave,
        KindCount,
        // Time goes on for all, and claims are swept; only in the test of the sweeper.
        Sleep = KindCount,
        Sweep,
        PassEpochs,
        SweepLate,
        ReadStale,
        RunKey,
        SweepKindCount
    };
    int kind = 0;
    int router = 0;
    int which = 0;
};

// Runs posted functions when the test says so; a router that isn't told to is frozen.
class ManualWorker : public BlockingWorker
{
public:
    bool tryPost(std::function<void()> function) override
    {
        waiting.push_back(std::move(function));
        return true;
    }

    std::deque<std::function<void()>> waiting;
};

// Routers that share a faulty store and ask each other over a lossy way, and the oracle that
// counts the runs of each key.
class KeyedWorld : private KeyHolderClient
{
public:
    using Command = KeyedCommand;

    KeyedWorld();
    ~KeyedWorld() override;

    void apply(const KeyedCommand &command);
    // Mends every fault and lets everything come to its end.
    void settle();
    // The first promise that is broken, or an empty text.
    std::string violation() const;

private:
    struct Router
    {
        Router(const std::string &daemon, KeyedWorld &world, units::Duration clockAhead);
        ~Router() { fixture.dropFlows(); }

        FlowFixture fixture;
        units::ManualClock claimClock;
        ClaimStore claims;
        ClaimSweeper sweeper;
        ManualWorker worker;
        KeyedRequests keyed;
        std::map<std::size_t, bool> callEnded;
    };
    struct Caller
    {
        std::shared_ptr<RecordingResponder> responder;
        std::string key;
        Router *router = nullptr;
        bool left = false;
    };

    void ask(const HolderQuestion &question, ReplyHandler reply) override;
    void send(Router &router, const units::IdempotencyKey &key);
    void deliverQuestion(std::size_t index, bool lost);
    void actOnCall(Router &router, const KeyedCommand &command);
    // False where the router's client does not send it any more.
    bool runCall(Router &router, std::size_t call);
    // One step of its sweeper; the others, which don't sweep, read the epoch.
    void sweep(Router &router);
    void pass(units::Duration time);
    void passTime(Router &router, const KeyedCommand &command);
    bool isAnswerOfARun(const std::string &key, const std::string &body) const;
    Router *alive(const units::DaemonId &daemon);

    FaultyStore store_;
    std::vector<std::unique_ptr<Router>> routers_;
    // Dead lives: what they sent may still reach an endpoint.
    std::vector<std::unique_ptr<Router>> dead_;
    std::vector<Caller> callers_;
    std::vector<std::pair<HolderQuestion, ReplyHandler>> questions_;
    std::vector<std::pair<units::DaemonId, ReplyHandler>> asked_;
    std::vector<std::function<void()>> replies_;
    std::vector<units::IdempotencyKey> issued_;
    struct Run
    {
        // In the world's time.
        units::Duration begun{};
        std::string answer;
    };
    std::map<std::string, std::vector<Run>> runsByKey_;
    std::map<std::string, int> runsByRequest_;
    units::Duration now_{};
    bool sweeps_ = false;
    int lives_ = 0;
    bool settled_ = false;
};

} // namespace monsoongrade::requests

#endif // MONSOONGRADE_TESTS_REQUESTS_KEYEDWORLD_H
