#ifndef MONSOONGRADE_TESTS_DUTIES_DUTYSIMULATION_H
#define MONSOONGRADE_TESTS_DUTIES_DUTYSIMULATION_H

#include <monsoongrade/duties/dutyrunner.h>
#include <monsoongrade/duties/usagepublisher.h>
#include <monsoongrade/duties/usagereporter.h>
#include <monsoongrade/routing/peertable.h>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace monsoongrade::duties {

// Faults to inject and safeguards to disable.
struct DutySimulationSettings
{
    int hosts = 3;
    std::uint32_t seed = 1;
    bool hasFaults = true;
    int maxFaultIntervalMs = 4000; // between two faults
    // Each false disables a safeguard.
    bool storesReports = true;
    bool incrementsTokens = true;
    bool delaysReacquire = true;
};

// Simulates hosts with the real lease and usage reporting, a store and a platform, in virtual time.
// Calls take time, get lost, are executed late or without an answer; hosts crash, stop as planned
// and freeze, and their clocks run at slightly different speeds. Records violations of the rules
// for duties that one host at a time may run.
class DutySimulation
{
public:
    static constexpr units::Duration LeaseDuration = std::chrono::seconds(3);

    explicit DutySimulation(DutySimulationSettings settings);
    ~DutySimulation();

    void run(units::Duration duration);
    void crash(int host, units::Duration downFor);
    void stop(int host, units::Duration downFor);
    void freeze(int host, units::Duration duration);
    // Calls of this host to the store are lost for this time.
    void disconnectStore(int host, units::Duration duration);
    void disconnectStoreForAll(units::Duration duration);
    void disconnectPlatform(units::Duration duration);
    // From now on, the wall clock of this host is off by the step.
    void stepWallClock(int host, units::Duration step);

    // The host that holds the lease and may act now; -1 if there is none.
    int holder() const;
    // Descriptions of the violated rules.
    const std::vector<std::string> &violations() const { return violations_; }
    // Reports that the platform received.
    const std::map<WindowNumber, UsageCounts> &reports() const { return reports_; }
    // Windows, starting with from, whose report is due but missing, or deviates by more than the
    // tolerance, a share of the count, for some workspace.
    std::vector<WindowNumber> inaccurateWindows(WindowNumber from, double tolerance) const;
    WindowNumber windowNow() const { return windows_.windowAt(WallTime(now_.time_since_epoch())); }
    // Store calls so far, except reads that may be stale.
    int storeCalls() const { return storeCalls_; }
    int staleReads() const { return staleReads_; }
    units::TimePoint now() const { return now_; }
    UsageWindows windows() const { return windows_; }

private:
    class Host;

    void at(units::TimePoint when, std::function<void()> function);
    void tick(int host);
    void startRequests(Host &host);
    void exchangeWallClockSamples(Host &host);
    void sendUsageCounts(Host &host);
    std::vector<routing::PeerUpdate> liveHosts() const;
    void injectFault();
    units::Duration between(int fromMs, int toMs);
    bool occurs(double share);
    // Simulates a store call: executed at most once, maybe late, and answered or not.
    void storeCall(Host &host, const std::function<void()> &execute,
                   const std::function<void(bool)> &answer);
    void platformCall(Host &host, const std::function<void()> &execute,
                      const std::function<void(bool)> &answer);
    void answerAt(Host &host, units::Duration delay, const std::function<void()> &function);
    void onUsageCall(int machine, FencingToken token, WindowNumber window,
                     const UsageCounts &counts);
    void recordAct(int machine, FencingToken token);
    bool isStoreUnavailable(int machine) const;

    DutySimulationSettings settings_;
    std::mt19937 random_;
    units::TimePoint now_{std::chrono::hours(1)};
    std::multimap<units::TimePoint, std::function<void()>> events_;
    UsageWindows windows_{std::chrono::seconds(5), std::chrono::seconds(10)};
    std::vector<std::unique_ptr<Host>> hosts_;
    std::vector<units::TimePoint> storeUnavailableUntil_;
    std::vector<units::Duration> wallClockOffset_;
    std::map<WindowNumber, UsageCounts> startedRequests_;
    units::TimePoint platformUnavailableUntil_{};
    // State of the store.
    std::optional<StoredLease> lease_;
    std::uint64_t revision_ = 1;
    std::map<WindowNumber, UsageCounts> storedReports_;
    int storeCalls_ = 0;
    int staleReads_ = 0;
    // Calls seen by the platform.
    FencingToken newestToken_;
    std::map<FencingToken, int> machineOfToken_;
    std::vector<std::pair<units::TimePoint, int>> acts_;
    std::map<WindowNumber, UsageCounts> reports_;
    std::vector<std::string> violations_;
};

} // namespace monsoongrade::duties

#endif // MONSOONGRADE_TESTS_DUTIES_DUTYSIMULATION_H
