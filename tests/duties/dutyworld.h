#ifndef MONSOONGRADE_TESTS_DUTIES_DUTYWORLD_H
#define MONSOONGRADE_TESTS_DUTIES_DUTYWORLD_H

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

// What goes wrong in a world, and which safeguard is taken out of it.
struct DutyWorldSettings
{
    int hosts = 3;
    std::uint32_t seed = 1;
    bool hasFaults = true;
    int maxCalmMs = 4000; // between two faults
    // Safeguards.
    bool fixesReports = true;
    bool countsTokens = true;
    bool pausesAfterLoss = true;
};

// Hosts with the real lease and usage reporting, a store and a platform, in virtual time. Calls
// take time, get lost, are executed without an answer or late; hosts crash, stop as planned,
// freeze, and their clocks run at slightly different speeds. Notes each broken rule of singleton
// duties.
class DutyWorld
{
public:
    static constexpr units::Duration LeaseDuration = std::chrono::seconds(3);

    explicit DutyWorld(DutyWorldSettings settings);
    ~DutyWorld();

    void run(units::Duration duration);
    void crash(int host, units::Duration downFor);
    void stop(int host, units::Duration downFor);
    void freeze(int host, units::Duration duration);
    // Calls of this host to the store are lost until then.
    void cutStore(int host, units::Duration duration);
    void cutStoreForAll(units::Duration duration);
    void cutPlatform(units::Duration duration);
    // The time of day of this host is off by so much from now on.
    void stepWallClock(int host, units::Duration step);

    // The host that may act now; -1 if none may.
    int holder() const;
    // Each broken rule, in words.
    const std::vector<std::string> &faults() const { return faults_; }
    // Windows of which a report arrived.
    const std::map<WindowNumber, UsageCounts> &reports() const { return reports_; }
    // Windows that are due and whose report is missing or off by more than the share for some
    // workspace; from is the first that counts.
    std::vector<WindowNumber> badWindows(WindowNumber from, double tolerance) const;
    WindowNumber windowNow() const { return windows_.windowAt(WallTime(now_.time_since_epoch())); }
    // Store calls made so far, reads that may be stale not included.
    int storeCalls() const { return storeCalls_; }
    int staleReads() const { return staleReads_; }
    units::TimePoint now() const { return now_; }
    UsageWindows windows() const { return windows_; }

private:
    class Host;

    void at(units::TimePoint when, std::function<void()> function);
    void tick(int host);
    void beginRequests(Host &host);
    void exchangeWallTimes(Host &host);
    void tellCounts(Host &host);
    std::vector<routing::PeerUpdate> liveHosts() const;
    void injectFault();
    units::Duration between(int fromMs, int toMs);
    bool happens(double share);
    // A call to the store: executed once, never, or late; answered or not.
    void storeCall(Host &host, const std::function<void()> &execute,
                   const std::function<void(bool)> &answer);
    void platformCall(Host &host, const std::function<void()> &execute,
                      const std::function<void(bool)> &answer);
    void answerAt(Host &host, units::Duration delay, const std::function<void()> &function);
    void onUsageCall(int machine, FencingToken token, WindowNumber window,
                     const UsageCounts &counts);
    void noteAct(int machine, FencingToken token);
    bool isStoreAway(int machine) const;

    DutyWorldSettings settings_;
    std::mt19937 random_;
    units::TimePoint now_{std::chrono::hours(1)};
    std::multimap<units::TimePoint, std::function<void()>> events_;
    UsageWindows windows_{std::chrono::seconds(5), std::chrono::seconds(10)};
    std::vector<std::unique_ptr<Host>> hosts_;
    std::vector<units::TimePoint> storeAwayUntil_;
    std::vector<units::Duration> wallStep_;
    std::map<WindowNumber, UsageCounts> begun_;
    units::TimePoint platformAwayUntil_{};
    // The store.
    std::optional<StoredLease> lease_;
    std::uint64_t revision_ = 1;
    std::map<WindowNumber, UsageCounts> fixed_;
    int storeCalls_ = 0;
    int staleReads_ = 0;
    // What the platform has seen.
    FencingToken newestToken_;
    std::map<FencingToken, int> machineOfToken_;
    std::vector<std::pair<units::TimePoint, int>> acts_;
    std::map<WindowNumber, UsageCounts> reports_;
    std::vector<std::string> faults_;
};

} // namespace monsoongrade::duties

#endif // MONSOONGRADE_TESTS_DUTIES_DUTYWORLD_H
