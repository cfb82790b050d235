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
constexpr auto Step = milliseconds(50); // hosts have their rounds at five different moments

constexpr auto SettleTime = seconds(12);

struct GossipingHost
{
    explicit GossipingHost(std::uint32_t number)
        : ip("10." + std::to_string(1 + number % 5) + "." + std::to_string(number / 250) + "."
             + std::to_string(number % 250))
        , domain("zone-" + std::to_string(number % 5))
        , rounds(ip, number)
    {
    }
    PeerUpdate own(units::TimePoint now) const
    {
        PeerUpdate news;
        news.ip = ip;
        news.failureDomain = units::FailureDomain(domain);
        news.state = state;
        news.uptime = now - startedAt;
        return news;
    }

    std::string ip;
    std::string domain;
    PeerTable table;
    GossipPlanner rounds;
    PeerState state = PeerState::Serving;
    bool isRunning = true;
    units::TimePoint startedAt;
};

// A fleet that gossips in virtual time; some of its datagrams are lost.
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
        const GossipPlanner::Round round = host.rounds.next(host.table, now);
        for (const std::string &ip : round.probeTargets) {
            if (tell(host, ip, {}))
                tell(*byIp.at(ip), host.ip, {});
        }
        for (const std::string &ip : round.recipients)
            tell(host, ip, round.news);
    }
    // Whether the datagram arrives.
    bool tell(GossipingHost &from, const std::string &to, const std::vector<PeerUpdate> &news)
    {
        ++datagrams;
        described += news.size();
        const auto found = byIp.find(to);
        const bool isLost = std::uniform_real_distribution<>(0, 1)(random) < loss;
        if (found == byIp.end() || !found->second->isRunning || isLost)
            return false;
        GossipingHost &host = *found->second;
        if (!host.table.isLive(from.ip, now))
            welcomes.emplace_back(&host, &from);
        host.table.receive(from.own(now), now);
        host.rounds.onHeartbeat(from.ip, now);
        for (const PeerUpdate &each : news) {
            if (each.ip != host.ip)
                host.table.receive(each, now);
        }
        for (; !welcomes.empty(); welcomes.clear()) {
            const auto [older, newcomer] = welcomes.back();
            for (const PeerUpdate &each : older->rounds.newsForJoiningHost(older->table, now)) {
                if (each.ip != newcomer->ip)
                    newcomer->table.receive(each, now);
            }
        }
        return true;
    }
    // Running hosts that others take for lost, and lost ones that others take for running.
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
    std::vector<std::pair<GossipingHost *, GossipingHost *>> welcomes;
    const units::TimePoint start = units::TimePoint(std::chrono::hours(1));
    units::TimePoint now = start;
    double loss;
    std::minstd_rand random{1};
    std::uint64_t datagrams = 0;
    std::uint64_t described = 0;
};

} // namespace

// Guards against running hosts that others take for lost because news through others are old.
TEST_CASE("GossipPlanner.NoRunningHostIsTakenForLostInALargeFleet")
{
    GossipingFleet fleet(300, 0.03);
    fleet.run(SettleTime);
    std::size_t wrong = 0;
    fleet.run(seconds(20), [&] { wrong += fleet.isSecondOver() ? fleet.wrongViews() : 0; });
    CHECK(wrong == 0);
}

// Guards against callers that are sent to a lost host, and against placing by a lost host.
TEST_CASE("GossipPlanner.LostHostIsLostToAllWithinTwoSeconds")
{
    GossipingFleet fleet(300);
    fleet.run(SettleTime);
    for (const std::size_t lost : {17U, 40U, 120U}) {
        fleet.hosts[lost]->isRunning = false;
        fleet.run(seconds(2));
        CHECK(fleet.wrongViews() == 0);
    }
}

TEST_CASE("GossipPlanner.HalfOfTheHostsAreLostAtOnceAndComeBack")
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

// Guards against a suspended host that takes all hosts it watches for lost when it wakes.
TEST_CASE("GossipPlanner.HostThatWasSuspendedTakesNobodyForLost")
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

// Guards against gossip whose bytes, or the time until all know of a change, grow with the fleet.
TEST_CASE("GossipPlanner.AThousandHostsAgreeAtTheCostOfSixty")
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
