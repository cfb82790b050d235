#ifndef MONSOONGRADE_SOAK_SOAKRUN_H
#define MONSOONGRADE_SOAK_SOAKRUN_H

#include "caller.h"
#include "soakplan.h"

#include <platform_standin/standinduties.h>
#include <platform_standin/standinstore.h>
#include <platform_standin/standinworker.h>
#include <scenario_runner/process.h>
#include <scenario_runner/relay.h>

#include <monsoongrade/units/bootclock.h>

#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace monsoongrade::soak {

struct SoakSettings
{
    std::uint32_t seed = 1;
    std::chrono::seconds length{20};
    std::size_t hosts = 6;
    std::string gateway; // path of the program
    std::string folder; // for settings and logs
    std::vector<Fault> faults; // played in place of those that follow from the seed, if any
};

// One seeded run: real gateways as processes, the stand-in of the platform's store, stand-in
// endpoints behind a proxy, callers, and faults at the times of the plan.
class SoakRun
{
public:
    explicit SoakRun(const SoakSettings &settings);

    // Plays the run. Returns false if the gateways did not start.
    bool play();
    // What broke a promise; empty if nothing did.
    std::vector<std::string> violations() const;
    // A table of what the callers saw, by kind of request, and of crashed endpoints.
    std::string table() const;
    // A line for each request, with its times after the start of the load.
    std::string requests() const;

private:
    struct Host
    {
        std::string ip;
        std::string settingsPath;
        std::string settings;
        asio::ip::tcp::endpoint callers;
        asio::ip::tcp::endpoint store;
        std::unique_ptr<scenarios::Process> process;
        bool mustRestart = false;
        bool isEndAsked = false; // of the process, by a fault
        bool isEndNoted = false;
        units::TimePoint startedAt;
    };

    void addEndpoint(std::size_t number);
    void addHost(std::size_t number);
    void startHost(Host &host);
    bool awaitServing();
    void scheduleLoad();
    void sendOne();
    void resumeLater(const CallRecord &ended);
    void begin(const Fault &fault);
    void beginOfHost(const Fault &fault, Host &host);
    void beginOfEndpoint(const Fault &fault, standins::StandInWorker &endpoint);
    void end(const Fault &fault);
    void endOfHost(const Fault &fault, Host &host);
    void endOfEndpoint(const Fault &fault, standins::StandInWorker &endpoint);
    void end(Host &host, int signal);
    void restartOnceEnded(Host &host);
    void noteEnd(Host &host);
    void restartEnded();
    void signalDuringStart(Host &host);
    void overwriteEntry(const Fault &fault);
    void startNewVersion(const Fault &fault);
    void reload(const Fault &fault);
    void replaceSettings(const Fault &fault);
    void changeConfiguration(const Fault &fault);
    void putConfiguration();
    std::string versionOf(std::size_t endpoint, units::TimePoint at) const;
    int runsOf(const std::string &id) const;
    void checkAnswer(const CallRecord &record, std::vector<std::string> &found) const;
    void checkRuns(const CallRecord &record, std::vector<std::string> &found) const;
    const CallRecord &recordOf(const std::string &requestId) const;
    void checkAnnouncements(std::vector<std::string> &found) const;
    void checkLeaving(const standins::WorkerArrival &arrival, std::size_t endpoint,
                      std::vector<std::string> &found) const;
    void checkPause(const standins::WorkerArrival &rejection, std::size_t endpoint,
                    std::vector<std::string> &found) const;
    void checkLimit(std::size_t endpoint, std::vector<std::string> &found) const;
    void checkCrashes(bool areModelEndpoints, std::vector<std::string> &found) const;
    bool wasPassedOn(const standins::WorkerArrival &arrival, std::size_t endpoint) const;
    static bool isOfHost(const Fault &fault, std::size_t host);
    bool isHostDisturbed(std::size_t host, units::TimePoint from, units::TimePoint until) const;
    bool isPathDisturbed(std::size_t endpoint, units::TimePoint from, units::TimePoint until) const;
    bool isInForce(const Fault &fault, units::TimePoint from, units::TimePoint until) const;
    bool isAloneOnEntry(const Fault &fault) const;
    // Requests that end without an answer.
    void checkLost(std::vector<std::string> &found) const;
    std::vector<std::string> lostAtSoundEndpoints() const;
    void checkPlannedWork(const CallRecord &record, std::vector<std::string> &found) const;
    void checkConfigurationWork(std::vector<std::string> &found) const;
    bool isCutOff(const CallRecord &record) const;
    bool isStopExcused(const Fault &stop, const CallRecord &record) const;
    bool hasEndpointBrokenOff(const CallRecord &record) const;
    bool isPathDisturbed(const CallRecord &record) const;
    bool isInTouch(std::size_t host, units::TimePoint from, units::TimePoint until) const;
    // Streams over all attempts.
    void checkEvents(const CallRecord &record, std::vector<std::string> &found) const;
    struct ResumedStreams
    {
        int all = 0; // that clients resumed at hosts in touch
        int goOn = 0;
        double expected = 0; // that would go on if they fared as new streams do
        std::map<int, int> endings; // attempts that brought nothing, by status
    };

    ResumedStreams resumedStreams() const;
    void checkResumedStreams(std::vector<std::string> &found) const;
    bool isToBeResumed(const CallRecord &record) const;
    double shareOfNewStreams(units::TimePoint around) const;
    bool isServing(std::size_t endpoint, const std::string &version, units::TimePoint from,
                   units::TimePoint until) const;
    void checkDuties(std::vector<std::string> &found) const;
    void checkShares(std::vector<std::string> &found) const;
    bool overlaps(const Fault &fault, const CallRecord &record) const;
    std::size_t leftEndpointThatRan(const CallRecord &record) const;

    SoakSettings settings_;
    std::vector<Fault> faults_;
    units::BootClock clock_;
    asio::io_context io_;
    httpio::Timers timers_;
    standins::StandInStore store_;
    standins::StandInDuties duties_;
    scenarios::Relay relay_;
    std::vector<std::unique_ptr<standins::StandInWorker>> endpoints_;
    std::vector<Host> hosts_;
    Caller caller_;
    std::mt19937 random_;
    std::mt19937 resumptionRandom_;
    int configuration_ = 0; // version
    std::vector<std::string> ownEnds_; // of hosts
    units::TimePoint startedAt_;
    std::optional<units::TimePoint> revokedAt_;
    std::map<std::string, int> runs_; // by request, filled at the end
};

} // namespace monsoongrade::soak

#endif // MONSOONGRADE_SOAK_SOAKRUN_H
