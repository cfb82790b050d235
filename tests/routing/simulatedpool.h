#ifndef MONSOONGRADE_TESTS_ROUTING_SIMULATEDPOOL_H
#define MONSOONGRADE_TESTS_ROUTING_SIMULATEDPOOL_H

#include <monsoongrade/routing/placementdesk.h>

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
};

// A pool of model engines in simulated time, with PlacementDesk in front of it and no network.
// Engines read prompts in chunks of 4,096 tokens between steps that make one token for each running
// stream; they keep the parts used last within their memory.
class SimulatedPool
{
public:
    struct Options
    {
        int endpoints = 60;
        int slots = 64;
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
        std::int64_t left = 0; // tokens to read
        std::int64_t context = 0; // tokens read
        int made = 0; // output tokens
        units::TimePoint lastEventAt{};
        bool isFirstLate = false;
        bool hadPause = false;
    };
    struct Engine
    {
        EndpointRoster::Status status;
        std::deque<std::uint64_t> reading;
        std::vector<std::uint64_t> running;
        std::vector<std::string> cached; // the part used last at the end
        units::TimePoint nextStep{};
    };

    void arrive();
    void submit(std::uint64_t number, const PlacementChoice &choice);
    void leave();
    void step(Engine &engine);
    std::int64_t readChunk(Engine &engine);
    void emit(Engine &engine, std::uint64_t number);
    void finish(std::uint64_t number);

    Options options_;
    std::vector<SimulatedClass> classes_;
    EndpointRoster roster_;
    PlacementDesk desk_;
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

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_TESTS_ROUTING_SIMULATEDPOOL_H
