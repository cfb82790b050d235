#include "crashingfleet.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

using namespace monsoongrade;
using namespace monsoongrade::routing;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Simulates in virtual time endpoints that crash while running many requests, observed by hosts
// that each sent only some of the requests.

namespace {

constexpr int ArrivalsPerStep = 1;
constexpr auto RunTime = milliseconds(1000);
constexpr auto TimeToFirstEvent = milliseconds(100);
// From the start of the fatal request at an endpoint to its crash.
constexpr auto TimeToCrash = milliseconds(100);
constexpr auto TimeToRestart = seconds(4);
constexpr auto FatalInterval = milliseconds(400);
constexpr int MaxSends = 4; // two client attempts with one retry each

struct Run
{
    RequestIdentity request;
    std::size_t host = 0;
    std::size_t endpoint = 0;
    int sends = 0;
    units::TimePoint sentAt;
    units::TimePoint endsAt;
};

struct Counts
{
    int served = 0;
    int interrupted = 0; // sends of innocent requests that a crash interrupted
    int refused = 0; // innocent requests
    int crashes = 0;
};

class CrashSimulation : public CrashingFleet
{
public:
    explicit CrashSimulation(unsigned seed)
        : CrashingFleet(seed, TimeToRestart)
    {
    }

    const Counts &counts() const { return counts_; }

    void runFor(seconds time, bool withFatalRequest)
    {
        const units::TimePoint end = now_ + time;
        for (; now_ < end; now_ += Step) {
            if (withFatalRequest && isEvery(FatalInterval))
                send({RequestIdentity{units::WorkspaceName("fatal"), RequestDigest(1)}});
            for (int i = 0; i < ArrivalsPerStep; ++i)
                send({RequestIdentity{units::WorkspaceName("w"), RequestDigest(++lastDigest_)}});
            reportFirstEvents();
            endRuns();
            if (isEvery(GossipInterval))
                gossip();
        }
    }
    void crash(std::size_t endpoint)
    {
        ++counts_.crashes;
        const std::vector<Run> interrupted = interruptRuns(endpoint);
        restart(endpoint);
        resend(interrupted);
    }
    // All connections break; the endpoints keep running.
    void breakAllConnections()
    {
        std::vector<Run> interrupted;
        for (std::size_t endpoint = 0; endpoint < Endpoints; ++endpoint) {
            const std::vector<Run> there = interruptRuns(endpoint);
            interrupted.insert(interrupted.end(), there.begin(), there.end());
        }
        resend(interrupted);
    }

private:
    static bool isFatal(const RequestIdentity &request) { return request.digest.value() == 1; }
    void send(Run run)
    {
        run.host = random_() % Hosts;
        if (trackers_[run.host].quarantineRemaining(run.request, now_)) {
            counts_.refused += isFatal(run.request) ? 0 : 1;
            return;
        }
        run.endpoint = randomAvailableEndpoint();
        ++run.sends;
        run.sentAt = now_;
        run.endsAt = now_ + (isFatal(run.request) ? TimeToCrash : RunTime);
        runs_.push_back(run);
    }
    void reportFirstEvents()
    {
        for (const Run &run : runs_) {
            if (!isFatal(run.request) && run.sentAt + TimeToFirstEvent == now_)
                trackers_[run.host].onAnswered(instanceOf(run.endpoint), run.sentAt);
        }
    }
    void endRuns()
    {
        std::vector<std::size_t> ended;
        std::vector<Run> running;
        for (const Run &run : runs_) {
            if (run.endsAt > now_) {
                running.push_back(run);
            } else if (isFatal(run.request)) {
                running.push_back(run);
                ended.push_back(run.endpoint);
            } else {
                ++counts_.served;
                trackers_[run.host].onCompleted(run.request, now_);
            }
        }
        runs_ = std::move(running);
        for (const std::size_t endpoint : ended)
            crash(endpoint);
    }
    // Ends all runs at the endpoint; returns those of innocent requests.
    std::vector<Run> interruptRuns(std::size_t endpoint)
    {
        std::vector<Run> interrupted;
        const auto isThere = [endpoint](const Run &run) {
            return run.endpoint == endpoint;
        };
        for (const Run &run : runs_) {
            if (!isThere(run))
                continue;
            trackers_[run.host].onCrash(run.request, instanceOf(endpoint), now_);
            if (!isFatal(run.request))
                interrupted.push_back(run);
        }
        runs_.erase(std::remove_if(runs_.begin(), runs_.end(), isThere), runs_.end());
        counts_.interrupted += int(interrupted.size());
        return interrupted;
    }
    void resend(const std::vector<Run> &interrupted)
    {
        for (const Run &run : interrupted) {
            if (run.sends < MaxSends)
                send(run);
        }
    }
    std::vector<Run> runs_;
    std::uint64_t lastDigest_ = 1;
    Counts counts_;
};

constexpr unsigned Seeds = 50;
// Limit for refused innocent requests, as a share of the served ones.
constexpr double MaxRefusedShare = 0.001;

} // namespace

// Guards against a request that keeps crashing endpoints, and against refusing those beside it.
TEST_CASE("CrashSimulation.OneFatalRequestIsStoppedAndOthersAreServed")
{
    Counts all;
    for (unsigned seed = 1; seed <= Seeds; ++seed) {
        CrashSimulation simulation(seed);
        simulation.runFor(seconds(20), true);
        CHECK_MESSAGE(simulation.counts().crashes <= 6, "seed ", seed);
        all.served += simulation.counts().served;
        all.refused += simulation.counts().refused;
        all.interrupted += simulation.counts().interrupted;
    }
    MESSAGE(all.served, " served, ", all.interrupted, " sends interrupted, ", all.refused,
            " refused");
    CHECK(all.refused <= MaxRefusedShare * all.served);
}

// Guards against quarantines when a failure domain is lost and no request is to blame.
TEST_CASE("CrashSimulation.SimultaneousCrashesQuarantineFewRequests")
{
    Counts all;
    for (unsigned seed = 1; seed <= Seeds; ++seed) {
        CrashSimulation simulation(seed);
        for (int loss = 0; loss < 3; ++loss) {
            simulation.runFor(seconds(2), false);
            for (std::size_t endpoint = 0; endpoint < CrashSimulation::Endpoints / 3; ++endpoint)
                simulation.crash((endpoint + std::size_t(loss)) % CrashSimulation::Endpoints);
        }
        simulation.runFor(seconds(10), false);
        all.served += simulation.counts().served;
        all.refused += simulation.counts().refused;
        all.interrupted += simulation.counts().interrupted;
    }
    MESSAGE(all.served, " served, ", all.interrupted, " sends interrupted, ", all.refused,
            " refused");
    CHECK(all.refused <= MaxRefusedShare * all.served);
}

// Guards against quarantines when connections are reset repeatedly.
TEST_CASE("CrashSimulation.RepeatedConnectionResetsQuarantineFewRequests")
{
    Counts all;
    for (unsigned seed = 1; seed <= Seeds; ++seed) {
        CrashSimulation simulation(seed);
        for (int reset = 0; reset < 5; ++reset) {
            simulation.runFor(seconds(1), false);
            simulation.breakAllConnections();
        }
        simulation.runFor(seconds(5), false);
        all.served += simulation.counts().served;
        all.refused += simulation.counts().refused;
        all.interrupted += simulation.counts().interrupted;
    }
    MESSAGE(all.served, " served, ", all.interrupted, " sends interrupted, ", all.refused,
            " refused");
    CHECK(all.refused <= MaxRefusedShare * all.served);
}
