#include <monsoongrade/routing/gossipplanner.h>
#include <monsoongrade/routing/storereaders.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <memory>

using namespace monsoongrade;
using namespace monsoongrade::routing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr auto RoundInterval = milliseconds(250);
constexpr auto Step = milliseconds(50); // the hosts' rounds start at five different times

constexpr auto SettleTime = seconds(12);

struct GossipingHost
{
    explicit GossipingHost(std::uint32_t number)
        : ip("10." + std::to_string(1 + number % 5) + "." + std::to_string(number / 250) + "."
             + std::to_string(number % 250))
        , domain("zone-" + std::to_string(number % 5))
        , planner(ip, number)
    {
    }
    PeerUpdate own(units::TimePoint now) const
    {
        PeerUpdate update;
        update.ip = ip;
        update.failureDomain = units::FailureDomain(domain);
        update.state = state;
        update.uptime = now - startedAt;
        return update;
    }

    std::string ip;
    std::string domain;
    PeerTable table;
    GossipPlanner planner;
    PeerState state = PeerState::Serving;
    bool isRunning = true;
    units::TimePoint startedAt;
};

// Simulates a gossiping fleet in virtual time; some of its datagrams are lost.
struct GossipingFleet
{
    explicit GossipingFleet(std::size_t size, double lossToUse = 0.01)
        : loss(lossToUse)
    {
        for (std::uint32_t i = 0; i < size; ++i) {
            hosts.push_back(std::make_unique<GossipingHost>(i));
            hosts.back()->startedAt = now;
            byIp[hosts.back()->ip] = hosts.back().get();
            if (i > 0)
                hosts.back()->table.addSeed(hosts.front()->ip);
        }
    }

    void run(
        units::Duration time, const std::function<void()> &eachStep = [] {})
    {
        for (const units::TimePoint end = now + time; now < end; now += Step) {
            for (std::size_t i = 0; i < hosts.size(); ++i) {
                const bool isDue
                    = std::size_t((now - start) / Step) % (RoundInterval / Step) == i % 5;
                if (hosts[i]->isRunning && isDue)
                    round(*hosts[i]);
            }
            eachStep();
        }
    }
    void round(GossipingHost &host)
    {
        const GossipPlanner::Round round = host.planner.next(host.table, now);
        for (const std::string &ip : round.probeTargets) {
            if (sendDatagram(host, ip, {}))
                sendDatagram(*byIp.at(ip), host.ip, {});
        }
        for (const std::string &ip : round.recipients)
            sendDatagram(host, ip, round.updates);
    }
    // Returns whether the datagram arrives.
    bool sendDatagram(GossipingHost &from, const std::string &to,
                      const std::vector<PeerUpdate> &updates)
    {
        ++datagrams;
        described += updates.size();
        const auto found = byIp.find(to);
        const bool isLost = std::uniform_real_distribution<>(0, 1)(random) < loss;
        if (found == byIp.end() || !found->second->isRunning || isLost)
            return false;
        GossipingHost &host = *found->second;
        if (!host.table.isLive(from.ip, now))
            joins.emplace_back(&host, &from);
        host.table.receive(from.own(now), now);
        host.planner.onHeartbeat(from.ip, now);
        for (const PeerUpdate &each : updates) {
            if (each.ip != host.ip)
                host.table.receive(each, now);
        }
        for (; !joins.empty(); joins.clear()) {
            const auto [contact, joiningHost] = joins.back();
            for (const PeerUpdate &each :
                 contact->planner.updatesForJoiningHost(contact->table, now)) {
                if (each.ip != joiningHost->ip)
                    joiningHost->table.receive(each, now);
            }
        }
        return true;
    }
    // Running hosts that others consider lost, and lost ones that others consider running.
    std::size_t wrongViews() const
    {
        std::vector<std::string> running;
        for (const auto &[ip, host] : byIp) {
            if (host->isRunning)
                running.push_back(ip);
        }
        std::size_t wrong = 0;
        for (const auto &[ip, host] : byIp) {
            if (!host->isRunning)
                continue;
            std::vector<std::string> live = host->table.liveIps(now);
            live.insert(std::lower_bound(live.begin(), live.end(), ip), ip);
            std::vector<std::string> differing;
            std::set_symmetric_difference(live.begin(), live.end(), running.begin(), running.end(),
                                          std::back_inserter(differing));
            wrong += differing.size();
        }
        return wrong;
    }
    std::size_t unawareOfState(const GossipingHost &changed) const
    {
        std::size_t unaware = 0;
        for (const auto &host : hosts) {
            for (const PeerUpdate &peer : host->table.live(now))
                unaware += peer.ip == changed.ip && peer.state != changed.state ? 1 : 0;
        }
        return unaware;
    }
    void restart(std::size_t number)
    {
        GossipingHost &host = *hosts[number];
        host.isRunning = true;
        host.startedAt = now;
        host.table = PeerTable();
        for (const auto &seed : hosts) {
            if (seed->isRunning && seed.get() != &host) {
                host.table.addSeed(seed->ip);
                break;
            }
        }
    }
    bool isSecondOver() const { return (now - start) % seconds(1) == units::Duration::zero(); }

    std::vector<std::unique_ptr<GossipingHost>> hosts;
    std::map<std::string, GossipingHost *> byIp;
    std::vector<std::pair<GossipingHost *, GossipingHost *>> joins;
    const units::TimePoint start = units::TimePoint(std::chrono::hours(1));
    units::TimePoint now = start;
    double loss;
    std::minstd_rand random{1};
    std::uint64_t datagrams = 0;
    std::uint64_t described = 0;
};

} // namespace

// Guards against running hosts that are considered lost because relayed updates of them are old.
TEST_CASE("GossipPlanner.NoRunningHostIsConsideredLostInALargeFleet")
{
    GossipingFleet fleet(300, 0.03);
    fleet.run(SettleTime);
    std::size_t wrong = 0;
    fleet.run(seconds(20), [&] { wrong += fleet.isSecondOver() ? fleet.wrongViews() : 0; });
    CHECK(wrong == 0);
}

// Guards against sending callers to a lost host and against using it as placement coordinator.
TEST_CASE("GossipPlanner.AllHostsDetectALostHostWithinTwoSeconds")
{
    GossipingFleet fleet(300);
    fleet.run(SettleTime);
    for (const std::size_t lost : {17U, 40U, 120U}) {
        fleet.hosts[lost]->isRunning = false;
        fleet.run(seconds(2));
        CHECK(fleet.wrongViews() == 0);
    }
}

TEST_CASE("GossipPlanner.LossAndReturnOfHalfTheHostsAreDetected")
{
    GossipingFleet fleet(300);
    fleet.run(SettleTime);
    for (std::size_t i = 0; i < fleet.hosts.size(); ++i)
        fleet.hosts[i]->isRunning = i % 9 >= 5;
    fleet.run(seconds(6));
    CHECK(fleet.wrongViews() == 0);
    for (std::size_t i = 0; i < fleet.hosts.size(); ++i) {
        if (!fleet.hosts[i]->isRunning)
            fleet.restart(i);
    }
    fleet.run(seconds(6));
    CHECK(fleet.wrongViews() == 0);
}

// Guards against a host that, resumed after a suspension, declares all hosts it monitors lost.
TEST_CASE("GossipPlanner.SuspendedHostConsidersNoHostLost")
{
    GossipingFleet fleet(300);
    fleet.run(SettleTime);
    GossipingHost &suspended = *fleet.hosts[3];
    suspended.isRunning = false;
    fleet.run(milliseconds(900));
    suspended.isRunning = true;
    std::size_t wrong = 0;
    fleet.run(seconds(3), [&] {
        for (const auto &host : fleet.hosts) {
            if (host.get() != &suspended && !suspended.table.isLive(host->ip, fleet.now))
                ++wrong;
        }
    });
    CHECK(wrong == 0);
}

// Guards against gossip traffic, or delays until all know of a change, that grow with the fleet.
TEST_CASE("GossipPlanner.MessagesPerHostDoNotGrowFromSixtyToAThousandHosts")
{
    for (const std::size_t size : {60U, 1000U}) {
        GossipingFleet fleet(size);
        fleet.run(SettleTime);
        CHECK(fleet.wrongViews() == 0);
        fleet.datagrams = 0;
        fleet.described = 0;
        fleet.run(seconds(2));
        const double rounds = double(size) * 8;
        CHECK(double(fleet.datagrams) / rounds <= 7.5);
        CHECK(double(fleet.described) / rounds <= 7 * 40.0);
        fleet.hosts[17]->state = PeerState::Leaving;
        fleet.run(milliseconds(1500));
        CHECK(fleet.unawareOfState(*fleet.hosts[17]) == 0);
    }
}
