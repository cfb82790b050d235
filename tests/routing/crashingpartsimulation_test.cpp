#include "crashingfleet.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

using namespace monsoongrade;
using namespace monsoongrade::routing;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Simulates in virtual time endpoints that crash when they begin to answer requests with a certain
// prompt part, among many requests that share their other parts.

namespace {

constexpr auto StreamTime = milliseconds(1500);
constexpr auto TimeToFirstEvent = milliseconds(100);
constexpr auto TimeToRestart = seconds(3);
constexpr auto FatalInterval = milliseconds(200);
constexpr auto MaxTimeToCrash = seconds(1); // after the first event
constexpr unsigned Classes = 3;
constexpr unsigned Subjects = 40; // of a class
constexpr auto ContactTime = seconds(3);
constexpr std::size_t CrashesBeforeBudget = 5;

const units::ModelName Model("m");

// The place of the fatal part among the parts of a prompt.
enum class FatalPlace { First, Middle, Last };

// Which streams count against their parts when their endpoint crashes.
enum class Suspects { JustBegun, All };

struct Counts
{
    int served = 0;
    int refused = 0; // sound requests
    int refusedLater = 0; // sound ones, from twice the contact time after the fifth crash on
    int servedLater = 0;
    int crashes = 0;
    int fatalLater = 0; // sent later than the contact time after the fifth crash
};

class PartSimulation : public CrashingFleet
{
public:
    PartSimulation(unsigned seed, Suspects suspects)
        : CrashingFleet(seed, TimeToRestart)
        , suspects_(suspects)
    {
    }

    const Counts &counts() const { return counts_; }

    void runFor(seconds time, std::optional<FatalPlace> fatal)
    {
        const units::TimePoint end = now_ + time;
        for (; now_ < end; now_ += Step) {
            if (fatal && isEvery(FatalInterval))
                send(fatalRun(*fatal));
            send(soundRun());
            endRuns();
            if (isEvery(GossipInterval))
                gossip();
        }
    }
    void crash(std::size_t endpoint)
    {
        ++counts_.crashes;
        if (counts_.crashes == int(CrashesBeforeBudget))
            fifthCrashAt_ = now_;
        const auto isThere = [endpoint](const Run &run) {
            return run.endpoint == endpoint;
        };
        for (const Run &run : runs_) {
            if (isThere(run))
                report(run);
        }
        runs_.erase(std::remove_if(runs_.begin(), runs_.end(), isThere), runs_.end());
        restart(endpoint);
    }

private:
    struct Run
    {
        RequestIdentity request;
        std::vector<RequestIdentity> parts;
        bool isFatal = false;
        std::size_t host = 0;
        std::size_t endpoint = 0;
        units::TimePoint sentAt;
    };

    static RequestIdentity part(const std::string &id) { return identityOfPart(Model, id); }
    Run newRun(unsigned requestClass)
    {
        Run run;
        run.request = {units::WorkspaceName("w"), RequestDigest(++lastDigest_)};
        // Few subjects have most of the requests.
        const unsigned subject = std::min(random_() % Subjects, random_() % Subjects);
        const std::string name = std::to_string(requestClass);
        run.parts = {part("class" + name), part("subject" + name + "-" + std::to_string(subject))};
        return run;
    }
    Run soundRun() { return newRun(unsigned(random_() % Classes)); }
    Run fatalRun(FatalPlace place)
    {
        Run run = newRun(0);
        run.isFatal = true;
        run.parts.insert(run.parts.begin() + std::ptrdiff_t(place), part("fatal"));
        return run;
    }
    bool isRefused(const Run &run) const
    {
        const CrashTracker &tracker = trackers_[run.host];
        const auto isQuarantined = [&](const RequestIdentity &identity) {
            return tracker.quarantineRemaining(identity, now_).has_value();
        };
        return isQuarantined(run.request)
            || std::any_of(run.parts.begin(), run.parts.end(), isQuarantined);
    }
    void send(Run run)
    {
        run.host = random_() % Hosts;
        const bool isLater = fifthCrashAt_ && now_ > *fifthCrashAt_ + 2 * ContactTime;
        const bool isRefusedHere = isRefused(run);
        if (!run.isFatal) {
            counts_.refused += isRefusedHere ? 1 : 0;
            counts_.refusedLater += isLater && isRefusedHere ? 1 : 0;
            counts_.servedLater += isLater && !isRefusedHere ? 1 : 0;
        } else if (!isRefusedHere) {
            counts_.fatalLater += fifthCrashAt_ && now_ > *fifthCrashAt_ + ContactTime ? 1 : 0;
        }
        if (isRefusedHere || !isAnyAvailable())
            return;
        run.endpoint = randomAvailableEndpoint();
        run.sentAt = now_;
        runs_.push_back(std::move(run));
    }
    void endRuns()
    {
        std::vector<std::size_t> crashed;
        std::vector<Run> running;
        for (Run &run : runs_) {
            if (run.isFatal && now_ >= run.sentAt + TimeToFirstEvent)
                crashed.push_back(run.endpoint);
            if (run.isFatal || now_ < run.sentAt + StreamTime) {
                running.push_back(std::move(run));
                continue;
            }
            ++counts_.served;
            trackers_[run.host].onCompleted(run.request, now_);
            for (const RequestIdentity &each : run.parts)
                trackers_[run.host].onCompleted(each, now_);
        }
        runs_ = std::move(running);
        for (const std::size_t endpoint : crashed) {
            if (isAvailable(endpoint))
                crash(endpoint);
        }
    }
    void report(const Run &run)
    {
        const EndpointInstance instance = instanceOf(run.endpoint);
        CrashTracker &tracker = trackers_[run.host];
        tracker.onCrash(run.request, instance, now_);
        if (suspects_ == Suspects::JustBegun
            && now_ > run.sentAt + TimeToFirstEvent + MaxTimeToCrash)
            return;
        for (std::size_t i = 0; i < run.parts.size(); ++i)
            tracker.onCrash(run.parts[i], instance, now_, int(i) + 1);
    }
    bool isAnyAvailable() const
    {
        for (std::size_t endpoint = 0; endpoint < Endpoints; ++endpoint) {
            if (isAvailable(endpoint))
                return true;
        }
        return false;
    }

    Suspects suspects_;
    std::vector<Run> runs_;
    std::optional<units::TimePoint> fifthCrashAt_;
    std::uint64_t lastDigest_ = 0;
    Counts counts_;
};

constexpr unsigned Seeds = 20;
// Requests with the fatal part that may be sent later than the contact time after five crashes.
constexpr int MaxFatalLater = 3;

Counts runAll(Suspects suspects, seconds before, std::optional<FatalPlace> fatal)
{
    Counts all;
    for (unsigned seed = 1; seed <= Seeds; ++seed) {
        PartSimulation simulation(seed, suspects);
        simulation.runFor(before, std::nullopt);
        simulation.runFor(seconds(20), fatal);
        const Counts &counts = simulation.counts();
        CHECK_MESSAGE(counts.fatalLater <= MaxFatalLater, "seed ", seed);
        CHECK_MESSAGE(counts.refusedLater <= counts.servedLater, "seed ", seed);
        all.served += counts.served;
        all.refused += counts.refused;
        all.crashes += counts.crashes;
        all.fatalLater += counts.fatalLater;
    }
    MESSAGE(all.served, " served, ", all.refused, " refused, ", double(all.crashes) / Seeds,
            " crashes a seed, ", all.fatalLater, " fatal requests after the fifth crash");
    return all;
}

constexpr double MaxRefusedShare = 0.01;

} // namespace

// Guards against a fatal part that is not found because of its place in the prompts.
TEST_CASE("CrashingPartSimulation.FatalPartIsFoundAtEachPlace")
{
    for (const FatalPlace place : {FatalPlace::First, FatalPlace::Middle, FatalPlace::Last}) {
        CAPTURE(int(place));
        const Counts all = runAll(Suspects::JustBegun, seconds(10), place);
        CHECK(all.refused <= MaxRefusedShare * all.served);
    }
}

// Guards against blaming the parts of sound requests on hosts that have just started.
TEST_CASE("CrashingPartSimulation.SoundRequestsAreServedThoughNoHostKnowsTheirParts")
{
    for (const FatalPlace place : {FatalPlace::First, FatalPlace::Middle, FatalPlace::Last}) {
        CAPTURE(int(place));
        runAll(Suspects::JustBegun, seconds(0), place);
    }
}

// The other way: all streams at the endpoint count against their parts.
TEST_CASE("CrashingPartSimulation.FatalPartIsFoundIfAllStreamsAreSuspected")
{
    for (const FatalPlace place : {FatalPlace::First, FatalPlace::Middle, FatalPlace::Last}) {
        CAPTURE(int(place));
        runAll(Suspects::All, seconds(10), place);
    }
}

// Guards against quarantined parts when a failure domain is lost and no request is to blame.
TEST_CASE("CrashingPartSimulation.SimultaneousCrashesQuarantineFewRequests")
{
    Counts all;
    for (unsigned seed = 1; seed <= Seeds; ++seed) {
        PartSimulation simulation(seed, Suspects::JustBegun);
        for (std::size_t loss = 0; loss < 3; ++loss) {
            simulation.runFor(seconds(2), std::nullopt);
            for (std::size_t endpoint = 0; endpoint < PartSimulation::Endpoints / 3; ++endpoint)
                simulation.crash((endpoint + loss) % PartSimulation::Endpoints);
        }
        simulation.runFor(seconds(10), std::nullopt);
        all.served += simulation.counts().served;
        all.refused += simulation.counts().refused;
    }
    MESSAGE(all.served, " served, ", all.refused, " refused");
    CHECK(all.refused <= MaxRefusedShare * all.served);
}
