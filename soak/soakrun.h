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

private:
    struct Host
    {
        std::string ip;
        std::string settingsPath;
        asio::ip::tcp::endpoint callers;
        asio::ip::tcp::endpoint store;
        std::unique_ptr<scenarios::Process> process;
        bool mustRestart = false;
    };

    void addEndpoint(std::size_t number);
    void addHost(std::size_t number);
    void startHost(Host &host);
    bool awaitServing();
    void scheduleLoad();
    void sendOne();
    void begin(const Fault &fault);
    void end(const Fault &fault);
    void restartEnded();
    void overwriteEntry(const Fault &fault);
    void putConfiguration(int version, bool hasSecondKey);
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
    bool isHostDisturbed(std::size_t host, units::TimePoint from, units::TimePoint until) const;
    bool isPathDisturbed(std::size_t endpoint, units::TimePoint from, units::TimePoint until) const;
    bool isInForce(const Fault &fault, units::TimePoint from, units::TimePoint until) const;
    bool isAloneOnEntry(const Fault &fault) const;
    bool hasEndpointCrashed(const CallRecord &record) const;
    void checkPlannedStop(const CallRecord &record, std::vector<std::string> &found) const;
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
    units::TimePoint startedAt_;
    std::optional<units::TimePoint> revokedAt_;
    std::map<std::string, int> runs_; // by request, filled at the end
};

} // namespace monsoongrade::soak

#endif // MONSOONGRADE_SOAK_SOAKRUN_H
