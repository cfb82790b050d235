#include <monsoongrade/routing/crashtracker.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <vector>

using namespace monsoongrade;
using namespace monsoongrade::routing;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Endpoints that crash while many requests run there, seen by hosts that each have only a part of
// them, in virtual time.

namespace {

constexpr std::size_t Hosts = 8;
constexpr std::size_t Endpoints = 12;
constexpr auto Step = milliseconds(10);
constexpr auto GossipInterval = milliseconds(250);
constexpr int ArrivalsPerStep = 1;
constexpr auto RunTime = milliseconds(1000);
constexpr auto TimeToFirstEvent = milliseconds(100);
// From the start of the fatal request at an endpoint to its crash.
constexpr auto TimeToCrash = milliseconds(100);
constexpr auto TimeToRestart = seconds(4);
constexpr auto FatalInterval = milliseconds(400);
constexpr int MaxSends = 4; // two client attempts with one retry each
constexpr std::size_t DatagramItems = 20;

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
    int broken = 0; // sends of innocent requests that a crash broke off
    int refused = 0; // innocent requests
    int crashes = 0;
};

class Weather
{
public:
    explicit Weather(unsigned seed)
        : random_(seed)
        , ledgers_(Hosts)
        , upFrom_(Endpoints)
        , starts_(Endpoints, 1)
    {
    }

    const Counts &counts() const { return counts_; }

    void playFor(seconds time, bool withFatalRequest)
    {
        const units::TimePoint end = now_ + time;
        for (; now_ < end; now_ += Step) {
            if (withFatalRequest && isEvery(FatalInterval))
                send({RequestIdentity{units::WorkspaceName("fatal"), RequestDigest(1)}});
            for (int i = 0; i < ArrivalsPerStep; ++i)
                send({RequestIdentity{units::WorkspaceName("w"), RequestDigest(++lastDigest_)}});
            noteFirstEvents();
            endRuns();
            if (isEvery(GossipInterval))
                gossip();
        }
    }
    void crash(std::size_t endpoint)
    {
        ++counts_.crashes;
        upFrom_[endpoint] = now_ + TimeToRestart;
        const std::vector<Run> broken = breakRuns(endpoint);
        ++starts_[endpoint];
        sendAgain(broken);
    }
    // All connections break; the endpoints live on.
    void breakAllConnections()
    {
        std::vector<Run> broken;
        for (std::size_t endpoint = 0; endpoint < Endpoints; ++endpoint) {
            const std::vector<Run> there = breakRuns(endpoint);
            broken.insert(broken.end(), there.begin(), there.end());
        }
        sendAgain(broken);
    }

private:
    static bool isFatal(const RequestIdentity &request) { return request.digest.value() == 1; }
    bool isEvery(milliseconds interval) const
    {
        return now_.time_since_epoch() % interval == units::Duration::zero();
    }
    EndpointInstance startOf(std::size_t endpoint) const
    {
        return {units::EndpointId(std::to_string(endpoint)), Incarnation(starts_[endpoint])};
    }

    void send(Run run)
    {
        run.host = random_() % Hosts;
        if (ledgers_[run.host].quarantineRemaining(run.request, now_)) {
            counts_.refused += isFatal(run.request) ? 0 : 1;
            return;
        }
        do
            run.endpoint = random_() % Endpoints;
        while (upFrom_[run.endpoint] > now_);
        ++run.sends;
        run.sentAt = now_;
        run.endsAt = now_ + (isFatal(run.request) ? TimeToCrash : RunTime);
        runs_.push_back(run);
    }
    void noteFirstEvents()
    {
        for (const Run &run : runs_) {
            if (!isFatal(run.request) && run.sentAt + TimeToFirstEvent == now_)
                ledgers_[run.host].onAnswered(startOf(run.endpoint), run.sentAt);
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
                ledgers_[run.host].onCompleted(run.request, now_);
            }
        }
        runs_ = std::move(running);
        for (const std::size_t endpoint : ended)
            crash(endpoint);
    }
    // Ends all runs at the endpoint; returns those of innocent requests.
    std::vector<Run> breakRuns(std::size_t endpoint)
    {
        std::vector<Run> broken;
        const auto isThere = [endpoint](const Run &run) {
            return run.endpoint == endpoint;
        };
        for (const Run &run : runs_) {
            if (!isThere(run))
                continue;
            ledgers_[run.host].onCrash(run.request, startOf(endpoint), now_);
            if (!isFatal(run.request))
                broken.push_back(run);
        }
        runs_.erase(std::remove_if(runs_.begin(), runs_.end(), isThere), runs_.end());
        counts_.broken += int(broken.size());
        return broken;
    }
    void sendAgain(const std::vector<Run> &broken)
    {
        for (const Run &run : broken) {
            if (run.sends < MaxSends)
                send(run);
        }
    }
    void gossip()
    {
        for (CrashTracker &from : ledgers_) {
            for (const CrashUpdate &news : from.takeUpdates(DatagramItems, now_)) {
                for (CrashTracker &to : ledgers_) {
                    if (&to != &from)
                        to.receive(news, now_);
                }
            }
        }
    }

    std::mt19937 random_;
    units::TimePoint now_{std::chrono::hours(1)};
    std::vector<CrashTracker> ledgers_;
    std::vector<units::TimePoint> upFrom_;
    std::vector<std::int64_t> starts_;
    std::vector<Run> runs_;
    std::uint64_t lastDigest_ = 1;
    Counts counts_;
};

constexpr unsigned Seeds = 50;
// Of the innocent requests that are served, so many may be refused.
constexpr double MaxRefusedShare = 0.001;

} // namespace

// Guards against a request that goes on crashing endpoints, and against refusing those beside it.
TEST_CASE("CrashWeather.OneFatalRequestIsStoppedAndOthersAreServed")
{
    Counts all;
    for (unsigned seed = 1; seed <= Seeds; ++seed) {
        Weather weather(seed);
        weather.playFor(seconds(20), true);
        CHECK_MESSAGE(weather.counts().crashes <= 6, "seed ", seed);
        all.served += weather.counts().served;
        all.refused += weather.counts().refused;
        all.broken += weather.counts().broken;
    }
    MESSAGE(all.served, " served, ", all.broken, " sends broken off, ", all.refused, " refused");
    CHECK(all.refused <= MaxRefusedShare * all.served);
}

// Guards against quarantines when a failure domain is lost and no request is to blame.
TEST_CASE("CrashWeather.EndpointsThatCrashTogetherQuarantineFew")
{
    Counts all;
    for (unsigned seed = 1; seed <= Seeds; ++seed) {
        Weather weather(seed);
        for (int loss = 0; loss < 3; ++loss) {
            weather.playFor(seconds(2), false);
            for (std::size_t endpoint = 0; endpoint < Endpoints / 3; ++endpoint)
                weather.crash((endpoint + std::size_t(loss)) % Endpoints);
        }
        weather.playFor(seconds(10), false);
        all.served += weather.counts().served;
        all.refused += weather.counts().refused;
        all.broken += weather.counts().broken;
    }
    MESSAGE(all.served, " served, ", all.broken, " sends broken off, ", all.refused, " refused");
    CHECK(all.refused <= MaxRefusedShare * all.served);
}

// Guards against quarantines when connections are reset again and again.
TEST_CASE("CrashWeather.ResetConnectionsQuarantineFew")
{
    Counts all;
    for (unsigned seed = 1; seed <= Seeds; ++seed) {
        Weather weather(seed);
        for (int reset = 0; reset < 5; ++reset) {
            weather.playFor(seconds(1), false);
            weather.breakAllConnections();
        }
        weather.playFor(seconds(5), false);
        all.served += weather.counts().served;
        all.refused += weather.counts().refused;
        all.broken += weather.counts().broken;
    }
    MESSAGE(all.served, " served, ", all.broken, " sends broken off, ", all.refused, " refused");
    CHECK(all.refused <= MaxRefusedShare * all.served);
}
