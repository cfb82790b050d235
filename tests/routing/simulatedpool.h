#ifndef MONSOONGRADE_TESTS_ROUTING_SIMULATEDPOOL_H
#define MONSOONGRADE_TESTS_ROUTING_SIMULATEDPOOL_H

#include "fixedspeeds.h"

#include <monsoongrade/routing/requestplacer.h>

#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace monsoongrade::routing {

// A request class of the simulated load.
struct SimulatedClass
{
    std::string name;
    std::uint32_t tier = 0;
    double perSecond = 0;
    int parts = 1; // number of distinct shared parts
    std::int64_t sharedTokens = 0;
    std::int64_t ownTokens = 0;
    int outputTokens = 0;
    std::chrono::milliseconds target{};
    std::chrono::milliseconds maxEventGap{};
    std::chrono::milliseconds maxWait{}; // until a caller without an event leaves
    // Sigma of the log-normal distribution of own tokens, which are limited to maxOwnTokens; 0: all
    // requests have the same size.
    double sizeSigma = 0;
    std::int64_t maxOwnTokens = 0;
    std::chrono::milliseconds deadline = std::chrono::seconds(60); // until a stream is cut
    units::WorkspaceName workspace;
    std::chrono::milliseconds startsAfter{}; // time without requests of the class at the start
    double commonShare = 0; // of the requests that share one part; the others draw from parts
};

// Performance parameters of the simulated engines.
struct SimulatedEngine
{
    double prefillTokensPerMs = 157;
    double stepMs = 3.55;
    double stepMsPerStream = 0.0462;
    double attentionMsPerMillionPairs = 0.109;
    std::int64_t chunkTokens = 4096;
    int tokensPerEvent = 6;
    std::size_t cachedParts = 45; // shared parts cached in addition to the running streams
    std::vector<double> speeds{1}; // of the engines relative to the rates above, repeating
};

// Results of one request class.
struct SimulatedOutcome
{
    struct Arrival
    {
        units::TimePoint at;
        bool gotNothing = false; // refused, or the caller left
    };

    int asked = 0;
    int onTime = 0;
    int firstLate = 0; // completed, with a first event after its target
    int paused = 0; // completed with its first event in time, but with too long an event gap
    int refused = 0;
    int refusedAfterWait = 0; // of the refused: those that had been queued
    int left = 0; // the caller left without an event
    int cut = 0; // the deadline passed during the stream
    int largest = 0; // the tenth of all requests with the largest own prompts
    int largestServed = 0;
    int largestQueued = 0;
    int largestRefusedAfterWait = 0;
    int queued = 0;
    int retries = 0;
    int retried = 0; // requests with at least one retry
    int refusedTwice = 0; // requests refused at least twice
    // Of firstLate: those in time for the target of their last attempt.
    int onTimeAfterRetry = 0;
    units::Duration totalWait{}; // of the served: from the first arrival to the first event
    std::int64_t placedTokens = 0; // prompt tokens
    std::int64_t sharedPrefilledAgain = 0; // tokens of parts that an engine had prefilled before
    int copies = 0;
    int failedCopies = 0; // the source did not hold the part
    // Sent to an endpoint within half a second after a request of a higher tier was refused.
    int sentAfterHigherRefusal = 0;
    double firstEventMs = 0; // sum over the requests with a first event
    int firstEvents = 0;
    std::vector<Arrival> arrivals; // attempts, by their time of arrival
    std::vector<units::TimePoint> beganAt; // first events

    int served() const { return onTime + firstLate + paused; }
};

// Simulates a pool of model engines with a request placer and no network. Engines prefill prompts
// in chunks between steps that make one token for each running stream, and have an LRU cache of
// prompt parts.
class SimulatedPool
{
public:
    // Engines that do nothing for a time and go on afterwards.
    struct Silence
    {
        std::chrono::milliseconds at{};
        std::chrono::milliseconds length{};
        int engines = 0; // chosen at random
    };

    struct Options
    {
        int endpoints = 60;
        int slots = 64;
        SimulatedEngine engine;
        std::chrono::milliseconds length = std::chrono::seconds(9);
        bool mayWait = true; // false: each request is sent to an endpoint at once
        unsigned seed = 1;
        bool keepsEndpoints = true; // false: no endpoints are reserved for short event gaps
        int maxRetries = 0; // of a refused request, at the time that its caller is told
        bool hasReturnKeys = false; // false: no retry is scheduled
        std::chrono::milliseconds countedFrom{}; // earlier requests are not in the results
        // A new coordinator takes over, which knows only the cached parts; 0: none.
        std::chrono::milliseconds coordinatorLostAt{};
        bool ignoresSpeeds = false; // the placer takes all engines for equally fast
        std::optional<CacheTransfer> cacheTransfer; // set: engines copy shared parts
        std::vector<Silence> silences;
    };

    SimulatedPool(const Options &options, std::vector<SimulatedClass> classes);

    // Runs the simulation until the load has ended and all requests are done.
    std::map<std::string, SimulatedOutcome> play();
    // Counts of scheduled retries, of all coordinators.
    const queueing::ReturnSchedule::Counts &returnCounts() const { return returnCounts_; }

private:
    struct Engine;
    struct Request
    {
        const SimulatedClass *kind = nullptr;
        std::string part;
        units::TimePoint arrivedAt;
        std::uint64_t returnKey = 0; // number of its first attempt
        int retries = 0;
        units::TimePoint attemptAt; // when its last attempt arrived
        units::TimePoint firstEventAt{};
        std::int64_t own = 0; // tokens of its own
        std::int64_t tokensLeft = 0; // tokens still to prefill
        std::int64_t context = 0; // tokens prefilled
        int tokensMade = 0; // output tokens
        std::size_t arrival = 0; // index of its last attempt among the arrivals of its class
        Engine *engine = nullptr;
        units::TimePoint sentAt{};
        units::TimePoint lastEventAt{};
        bool isFirstLate = false;
        bool hadLongGap = false;
    };
    struct Engine
    {
        EndpointRegistry::Status status;
        std::deque<std::uint64_t> prefilling;
        std::vector<std::uint64_t> running;
        std::vector<std::string> cached; // least recently used first
        std::set<std::string> prefilled; // of the cached parts, those that can be copied
        units::TimePoint linkFreeAt{};
        units::TimePoint nextStep{};
        double speed = 1;
        units::TimePoint silentUntil{};
        units::TimePoint lastEventAt{};
    };

    void arrive();
    void recordArrival(Request &request);
    void recordNothing(const Request &request);
    static PlacementTicket ticketOf(std::uint64_t number);
    void startSilences();
    void expectEvent(std::uint64_t number, std::int64_t tokensToRead);
    void reportSilentEngines();
    std::int64_t drawOwnTokens(const SimulatedClass &kind);
    static bool isAmongLargest(const Request &request);
    PlacementQuery queryFor(const Request &request) const;
    void place(std::uint64_t number);
    void submit(std::uint64_t number, const PlacementChoice &choice);
    bool wasHigherTierRefused(std::uint32_t tier) const;
    bool retryLater(const Request &request, const PlacementChoice &choice);
    void placeRetries();
    void addReturnCounts();
    SimulatedOutcome &outcomeOf(const Request &request);
    void replaceCoordinator();
    void removeExpired();
    void startPrefill(Engine &engine, std::uint64_t number);
    bool startCopy(Engine &engine, std::uint64_t number, const PlacementChoice &choice);
    void endCopies();
    void step(Engine &engine);
    std::int64_t prefillChunk(Engine &engine);
    void emit(Engine &engine, std::uint64_t number);
    void finish(std::uint64_t number);

    Options options_;
    std::vector<SimulatedClass> classes_;
    EndpointRegistry registry_;
    FixedSpeeds equalSpeeds_;
    RequestPlacer placer_;
    std::map<std::string, Engine> engines_; // by endpoint id
    std::map<std::uint64_t, Request> open_;
    std::set<std::uint64_t> queued_;
    std::multimap<units::TimePoint, Request> returning_;
    std::multimap<units::TimePoint, std::uint64_t> suspicions_; // requests by when they are due
    std::size_t startedSilences_ = 0;
    queueing::ReturnSchedule::Counts returnCounts_;
    std::multimap<units::TimePoint, std::pair<Engine *, std::uint64_t>> copies_; // by end
    std::set<std::string> seenParts_;
    std::map<std::uint32_t, units::TimePoint> lastRefusals_; // by tier
    std::map<std::string, SimulatedOutcome> outcomes_;
    std::mt19937 random_; // the same load in each run with the same seed
    units::TimePoint now_ = units::TimePoint(std::chrono::hours(1));
    units::TimePoint start_ = now_;
    units::TimePoint end_;
    SimulatedOutcome uncounted_;
    std::uint64_t last_ = 0;
};

// Whether a tier gets nothing while a lower one is served: in some five seconds ten or more and
// over a twelfth of the urgent requests got nothing, and others began.
bool isUnservedBesideOthers(const SimulatedOutcome &urgent, const SimulatedOutcome &other);

// Three times the usual load of breakdowns, all uncached, and the usual load of tagging and
// summaries; for 60 endpoints, scaled by share.
std::vector<SimulatedClass> burstOfLongPrompts(double share);

// Twice as many long prompts as twelve engines that prefill 61 tokens per millisecond can handle in
// full. A third of them share one part.
std::vector<SimulatedClass> overloadWithCommonPart();

// More prompts, of very different sizes, than ten engines that prefill 66 tokens per millisecond
// can handle; the load is scaled with the rate of the engines.
std::vector<SimulatedClass> overloadOfMixedSizes(double prefillTokensPerMs);

// Long prompts, of different sizes, that keep engines of 61 tokens per millisecond prefilling for
// most of the time, with short and middle requests of higher tiers whose gaps that makes too long.
// The load is for one endpoint, scaled by the number of endpoints.
std::vector<SimulatedClass> longPromptsAmongShortStreams(double endpoints);

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_TESTS_ROUTING_SIMULATEDPOOL_H
