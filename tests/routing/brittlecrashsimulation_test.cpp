#include "crashingfleet.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <cstddef>
#include <vector>

using namespace monsoongrade;
using namespace monsoongrade::routing;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Simulates in virtual time brittle endpoints, some of whose crashes follow from rejections, and
// hosts that all send the same few requests. Hosts that have just started do not know yet that
// endpoints are brittle.

namespace {

constexpr auto RunTime = milliseconds(200);
constexpr auto FatalRunTime = milliseconds(100);
constexpr auto TimeToRestart = seconds(3);
constexpr auto FatalInterval = milliseconds(400);
constexpr auto CountRefreshInterval = milliseconds(100);
constexpr std::size_t Slots = 4;
constexpr std::size_t RejectionsPerSecond = 2;
constexpr std::uint64_t SoundRequests = 2;
constexpr std::uint64_t FatalDigest = 100;
// Each step has this many arrivals; the endpoints complete at most 2.4 a step.
constexpr int ArrivalsPerStep = 4;

struct Counts
{
    int served = 0;
    int servedAtEnd = 0; // in the last seconds
    int refused = 0; // sound requests
    int refusedAtEnd = 0;
    int rejected = 0;
    int fatalCrashes = 0;
    int otherCrashes = 0; // from rejections
};

class BrittleCrashSimulation : public CrashingFleet
{
public:
    // Of every brittleEvery endpoints one is brittle.
    BrittleCrashSimulation(unsigned seed, std::size_t brittleEvery)
        : CrashingFleet(seed, TimeToRestart)
        , brittleEvery_(brittleEvery)
        , rejections_(Endpoints)
        , freeSlots_(Hosts, std::vector<std::size_t>(Endpoints, Slots))
        , knowsBrittle_(Hosts, false)
    {
    }

    const Counts &counts() const { return counts_; }

    void run(seconds time, bool withFatalRequest)
    {
        const units::TimePoint end = now_ + time;
        for (; now_ < end; now_ += Step) {
            isAtEnd_ = end - now_ <= seconds(3);
            if (isEvery(CountRefreshInterval))
                refreshCounts();
            if (withFatalRequest && isEvery(FatalInterval))
                send(FatalDigest);
            for (int i = 0; i < ArrivalsPerStep; ++i)
                send(1 + random_() % SoundRequests);
            endRuns();
            if (isEvery(GossipInterval)) {
                gossip();
                shareKnowledge();
            }
        }
    }
    // All hosts are replaced by new processes.
    void killHosts()
    {
        trackers_.assign(Hosts, CrashTracker());
        knowsBrittle_.assign(Hosts, false);
        runs_.clear();
        for (auto &ofHost : freeSlots_)
            ofHost.assign(Endpoints, Slots);
        now_ += milliseconds(500);
    }

private:
    struct Run
    {
        RequestIdentity request;
        std::size_t host = 0;
        std::size_t endpoint = 0;
        units::TimePoint endsAt;
    };

    static bool isFatal(const RequestIdentity &request)
    {
        return request.digest.value() == FatalDigest;
    }
    bool isBrittle(std::size_t endpoint) const { return endpoint % brittleEvery_ == 0; }
    std::size_t runsAt(std::size_t endpoint) const
    {
        return std::size_t(std::count_if(runs_.begin(), runs_.end(), [endpoint](const Run &run) {
            return run.endpoint == endpoint;
        }));
    }
    void refreshCounts()
    {
        for (std::size_t endpoint = 0; endpoint < Endpoints; ++endpoint) {
            const std::size_t used = std::min(Slots, runsAt(endpoint));
            for (auto &ofHost : freeSlots_)
                ofHost[endpoint] = Slots - used;
        }
    }
    void shareKnowledge()
    {
        const bool isKnown = std::count(knowsBrittle_.begin(), knowsBrittle_.end(), true) > 0;
        knowsBrittle_.assign(Hosts, isKnown);
    }
    void send(std::uint64_t digest)
    {
        const RequestIdentity request{units::WorkspaceName("w"), RequestDigest(digest)};
        const std::size_t host = random_() % Hosts;
        if (trackers_[host].quarantineRemaining(request, now_)) {
            const int refused = isFatal(request) ? 0 : 1;
            counts_.refused += refused;
            counts_.refusedAtEnd += isAtEnd_ ? refused : 0;
            return;
        }
        const std::size_t endpoint = random_() % Endpoints;
        if (!isAvailable(endpoint))
            return;
        const bool isKnown = knowsBrittle_[host];
        std::size_t &freeSlots = freeSlots_[host][endpoint];
        if (isKnown && freeSlots == 0 && isBrittle(endpoint))
            return;
        freeSlots -= freeSlots > 0 ? 1 : 0;
        if (runsAt(endpoint) < Slots) {
            runs_.push_back(
                {request, host, endpoint, now_ + (isFatal(request) ? FatalRunTime : RunTime)});
            return;
        }
        reject(host, endpoint, isKnown);
    }
    void reject(std::size_t host, std::size_t endpoint, bool isKnown)
    {
        ++counts_.rejected;
        if (!isBrittle(endpoint))
            return;
        trackers_[host].onBrittle(instanceOf(endpoint), now_);
        if (!isKnown)
            trackers_[host].onRejected(instanceOf(endpoint), now_);
        knowsBrittle_[host] = true;
        std::vector<units::TimePoint> &times = rejections_[endpoint];
        times.push_back(now_);
        times.erase(std::remove_if(times.begin(), times.end(),
                                   [this](units::TimePoint at) { return now_ - at > seconds(1); }),
                    times.end());
        if (times.size() <= RejectionsPerSecond)
            return;
        ++counts_.otherCrashes;
        crash(endpoint);
    }
    void crash(std::size_t endpoint)
    {
        for (const Run &run : runs_) {
            if (run.endpoint == endpoint)
                trackers_[run.host].onCrash(run.request, instanceOf(endpoint), now_);
        }
        runs_.erase(std::remove_if(runs_.begin(), runs_.end(),
                                   [endpoint](const Run &run) { return run.endpoint == endpoint; }),
                    runs_.end());
        rejections_[endpoint].clear();
        restart(endpoint);
    }
    void endRuns()
    {
        std::vector<std::size_t> fatal;
        std::vector<Run> running;
        for (const Run &run : runs_) {
            if (run.endsAt > now_) {
                running.push_back(run);
            } else if (isFatal(run.request)) {
                running.push_back(run);
                fatal.push_back(run.endpoint);
            } else {
                ++counts_.served;
                counts_.servedAtEnd += isAtEnd_ ? 1 : 0;
                trackers_[run.host].onCompleted(run.request, now_);
                if (isBrittle(run.endpoint)) {
                    trackers_[run.host].onBrittle(instanceOf(run.endpoint), now_);
                    knowsBrittle_[run.host] = true;
                }
            }
        }
        runs_ = std::move(running);
        for (const std::size_t endpoint : fatal) {
            ++counts_.fatalCrashes;
            crash(endpoint);
        }
    }

    std::size_t brittleEvery_;
    std::vector<Run> runs_;
    std::vector<std::vector<units::TimePoint>> rejections_; // by endpoint, in the last second
    std::vector<std::vector<std::size_t>> freeSlots_; // by host and endpoint, as last refreshed
    std::vector<bool> knowsBrittle_; // by host
    bool isAtEnd_ = false;
    Counts counts_;
};

constexpr unsigned Seeds = 50;
constexpr std::array<std::size_t, 2> BrittleShares{1, 2}; // all endpoints, or every other one

} // namespace

// Guards against refusing sound requests for ten minutes after brittle endpoints fell over.
TEST_CASE("BrittleCrashSimulation.SoundRequestsAreServedAfterAKillOfAllHosts")
{
    for (const std::size_t every : BrittleShares) {
        Counts all;
        for (unsigned seed = 1; seed <= Seeds; ++seed) {
            BrittleCrashSimulation simulation(seed, every);
            simulation.run(seconds(5), false);
            simulation.killHosts();
            simulation.run(seconds(12), false);
            CHECK_MESSAGE(simulation.counts().refusedAtEnd == 0, "seed ", seed);
            CHECK_MESSAGE(simulation.counts().servedAtEnd > 0, "seed ", seed);
            all.served += simulation.counts().served;
            all.refused += simulation.counts().refused;
            all.otherCrashes += simulation.counts().otherCrashes;
            all.rejected += simulation.counts().rejected;
        }
        MESSAGE("one in ", every, " brittle: ", all.served, " served, ", all.refused, " refused, ",
                all.rejected, " rejected, ", all.otherCrashes, " crashes from rejections");
        CHECK(all.refused * 1000 <= all.served);
    }
}

// Guards against excusing a request that crashes brittle endpoints which also reject others.
TEST_CASE("BrittleCrashSimulation.FatalRequestIsStopped")
{
    constexpr int MaxCrashes = 6;
    for (const std::size_t every : BrittleShares) {
        Counts all;
        int most = 0;
        for (unsigned seed = 1; seed <= Seeds; ++seed) {
            BrittleCrashSimulation simulation(seed, every);
            simulation.run(seconds(5), false);
            simulation.killHosts();
            simulation.run(seconds(20), true);
            most = std::max(most, simulation.counts().fatalCrashes);
            CHECK_MESSAGE(simulation.counts().fatalCrashes <= MaxCrashes, "seed ", seed);
            all.served += simulation.counts().served;
            all.refused += simulation.counts().refused;
            all.fatalCrashes += simulation.counts().fatalCrashes;
            all.otherCrashes += simulation.counts().otherCrashes;
        }
        MESSAGE("one in ", every, " brittle: ", all.served, " served, ", all.refused, " refused, ",
                all.fatalCrashes, " crashes of the fatal request, at most ", most, ", ",
                all.otherCrashes, " from rejections");
        CHECK(all.refused * 1000 <= all.served);
    }
}
