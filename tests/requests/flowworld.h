#ifndef MONSOONGRADE_TESTS_REQUESTS_FLOWWORLD_H
#define MONSOONGRADE_TESTS_REQUESTS_FLOWWORLD_H

#include <requests/flowfixture.h>

#include <map>
#include <string>
#include <vector>

namespace monsoongrade::requests {

// One command of the fuzzer: `which` picks among what the command can act on.
struct FlowCommand
{
    enum Kind {
        StartIdempotent,
        StartAtMostOnce,
        StartResumable,
        Grant,
        RefuseAsk,
        Unreachable,
        RefuseBusy,
        Run,
        SendHead,
        SendEvent,
        // Half an event, then the connection breaks.
        SendHalfEvent,
        // An ended call's events that were still on their way.
        SendLate,
        Finish,
        Break,
        Leave,
        Read,
        Wait,
        KindCount
    };
    int kind = 0;
    int which = 0;
};

// Several flows over fakes, and the oracle: it counts runs, and knows of each run the events.
class FlowWorld
{
public:
    using Command = FlowCommand;

    void apply(const FlowCommand &command);
    // Lets everything that is still open come to its end.
    void settle();
    // The first promise that is broken, or an empty text.
    std::string violation();

private:
    struct Caller
    {
        std::shared_ptr<RecordingResponder> responder;
        std::string id;
        configuration::RunRule run = configuration::RunRule::Idempotent;
        bool left = false;
    };
    // What the endpoint of a call does.
    struct Work
    {
        int run = 0;
        int next = 0;
        bool head = false;
        bool ended = false;
    };

    void start(configuration::RunRule run, bool canResume);
    void actOnCall(const FlowCommand &command);
    void beginRun(std::size_t call);
    void send(std::size_t call, const std::string &bytes);
    endpoints::Headers headOf(std::size_t call) const;
    void finish(std::size_t call, bool whole);
    std::string eventOf(const std::string &id, int run, int number) const;
    std::string violationOf(const Caller &caller);

    FlowFixture fixture_;
    std::vector<Caller> callers_;
    std::map<std::size_t, Work> work_;
    std::map<std::string, int> runs_;
    int runCount_ = 0;
    bool settled_ = false;
};

} // namespace monsoongrade::requests

#endif // MONSOONGRADE_TESTS_REQUESTS_FLOWWORLD_H
