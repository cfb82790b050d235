#ifndef MONSOONGRADE_TESTS_ROUTING_SIMULATEDPOOL_H
#define MONSOONGRADE_TESTS_ROUTING_SIMULATEDPOOL_H

#include <monsoongrade/routing/requestplacer.h>

#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace monsoongrade::routing {

// One kind of stream, as callers send it.
struct SimulatedClass
{
    std::string name;
    std::uint32_t tier = 0;
    double perSecond = 0;
    int parts = 1; // how many shared parts there are
    std::int64_t sharedTokens = 0;
    std::int64_t ownTokens = 0;
    int outputTokens = 0;
    std::chrono::milliseconds target{};
    std::chrono::milliseconds maxPause{};
    std::chrono::milliseconds patience{}; // until a caller without an event leaves
    // Own tokens are drawn log-normally with this sigma around the mean, up to maxOwnTokens; 0: all
    // alike.
    double sizeSpread = 0;
    std::int64_t maxOwnTokens = 0;
    std::chrono::milliseconds deadline = std::chrono::seconds(60); // until a stream is cut
};

// How one kind of engine works.
struct SimulatedEngine
{
    double tokensReadPerMs = 157;
    double stepMs = 3.55;
    double stepMsPerStream = 0.0462;
    double attentionMsPerMillionPairs = 0.109;
    std::int64_t chunkTokens = 4096;
    int tokensPerEvent = 6;
    std::size_t cachedParts = 45; // shared parts beside the running streams
};

// What the callers of one class got.
struct SimulatedOutcome
{
    int asked = 0;
    int onTime = 0;
    int firstLate = 0; // whole, with a first event after its target
    int paused = 0; // whole and with its first event in time, but with a pause that is too long
    int refused = 0;
    int left = 0; // the caller left without an event
    int cut = 0; // the deadline passed while the stream ran
    int largest = 0; // of those asked, the tenth with the largest own prompts
    int largestServed = 0;

    int served() const { return onTime + firstLate + paused; }
};

// A pool of model engines in simulated time, with RequestPlacer in front of it and no network.
// Engines read prompts in chunks between steps that make one token for each running stream; they
// keep the parts used last within their memory.
class SimulatedPool
{
public:
    struct Options
    {
        int endpoints = 60;
        int slots = 64;
        SimulatedEngine engine;
        std::chrono::milliseconds length = std::chrono::seconds(9);
        bool mayWait = true; // off: each request is sent to an endpoint at once
        bool keepsEndpoints = true; // off: streams with short pauses have no endpoints of their own
    };

    SimulatedPool(const Options &options, std::vector<SimulatedClass> classes);

    // Plays the load, and then until nothing is left to do.
    std::map<std::string, SimulatedOutcome> play();

private:
    struct Request
    {
        const SimulatedClass *kind = nullptr;
        std::string part;
        units::TimePoint arrivedAt;
        std::int64_t own = 0; // tokens of its own
        std::int64_t left = 0; // tokens to read
        std::int64_t context = 0; // tokens read
        int made = 0; // output tokens
        units::TimePoint lastEventAt{};
        bool isFirstLate = false;
        bool hadPause = false;
    };
    struct Engine
    {
        EndpointRegistry::Status status;
        std::deque<std::uint64_t> reading;
        std::vector<std::uint64_t> running;
        std::vector<std::string> cached; // the part used last at the end
        units::TimePoint nextStep{};
    };

    void arrive();
    std::int64_t drawOwnTokens(const SimulatedClass &kind);
    static bool isAmongLargest(const Request &request);
    PlacementQuery queryFor(const Request &request) const;
    void submit(std::uint64_t number, const PlacementChoice &choice);
    void leave();
    void step(Engine &engine);
    std::int64_t readChunk(Engine &engine);
    void emit(Engine &engine, std::uint64_t number);
    void finish(std::uint64_t number);

    Options options_;
    std::vector<SimulatedClass> classes_;
    EndpointRegistry registry_;
    RequestPlacer desk_;
    std::map<std::string, Engine> engines_; // by endpoint id
    std::map<std::uint64_t, Request> open_;
    std::set<std::uint64_t> waiting_;
    std::map<std::string, SimulatedOutcome> outcomes_;
    std::mt19937 random_{1}; // NOLINT(cert-msc32-c,cert-msc51-cpp): the same load in each run
    units::TimePoint now_ = units::TimePoint(std::chrono::hours(1));
    units::TimePoint end_;
    std::uint64_t last_ = 0;
};

// Three times the usual breakdowns, all parts cold, beside the usual tagging and summaries; for 60
// endpoints, or the given share of it.
std::vector<SimulatedClass> burstOfLongPrompts(double share);

// More prompts of very different sizes than ten engines of 66 tokens a millisecond can read; an
// engine of another speed gets as many times more or fewer.
std::vector<SimulatedClass> overloadOfMixedSizes(double tokensReadPerMs);

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_TESTS_ROUTING_SIMULATEDPOOL_H
