#include <monsoongrade/gateway/peergossip.h>

#include <monsoongrade/duties/walltimeestimate.h>
#include <monsoongrade/units/bootclock.h>

#include <doctest/doctest.h>

#include <unistd.h>

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

using namespace monsoongrade;
using namespace monsoongrade::gateway;
using std::chrono::milliseconds;

namespace {

constexpr std::uint16_t Port = 17352;

// Test programs run in parallel; each derives its addresses from its process id.
std::string addressOf(std::size_t host)
{
    const int pid = int(getpid());
    return "127." + std::to_string(192 + (pid >> 14) % 32) + "." + std::to_string((pid >> 6) % 256)
        + "." + std::to_string(1 + (pid % 64) * 3 + int(host));
}

struct Host
{
    explicit Host(std::size_t number)
        : timers(io, clock)
        , gossip(io, timers, settingsOf(number), crashes, announcements)
    {
        gossip.start();
    }

    static PeerGossip::Settings settingsOf(std::size_t number)
    {
        PeerGossip::Settings settings;
        settings.ownIp = addressOf(number);
        settings.port = Port;
        settings.seedIps = {addressOf(0)};
        return settings;
    }

    units::BootClock clock;
    asio::io_context io;
    httpio::Timers timers;
    routing::CrashTracker crashes;
    duties::WallTimeEstimate wallTime;
    routing::EndpointAnnouncements announcements{wallTime};
    PeerGossip gossip;
};

const routing::RequestIdentity Fatal{units::WorkspaceName("w1"),
                                     routing::RequestDigest(0xfedcba9876543210)};

struct Fleet
{
    explicit Fleet(std::size_t size)
    {
        for (std::size_t host = 0; host < size; ++host)
            start(host);
    }

    void start(std::size_t host)
    {
        hosts.resize(std::max(hosts.size(), host + 1));
        hosts[host].reset();
        hosts[host] = std::make_unique<Host>(host);
    }
    bool isQuarantined(std::size_t host) const
    {
        return hosts[host]
            ->crashes.quarantineRemaining(Fatal, hosts[host]->timers.now())
            .has_value();
    }
    // Runs the hosts until the condition holds, at most for this time. Returns whether it holds.
    bool runUntil(const std::function<bool()> &isDone, milliseconds limit = std::chrono::seconds(3))
    {
        const auto end = std::chrono::steady_clock::now() + limit;
        while (!isDone() && std::chrono::steady_clock::now() < end) {
            for (const auto &each : hosts)
                each->io.poll();
            std::this_thread::sleep_for(milliseconds(1));
        }
        return isDone();
    }
    bool awaitQuarantine(std::size_t host)
    {
        return runUntil([&] { return isQuarantined(host); });
    }

    std::vector<std::unique_ptr<Host>> hosts;
};

// Endpoints announce their limits to this host.
void announceLimits(Host &host, std::size_t endpoints)
{
    for (std::size_t i = 0; i < endpoints; ++i)
        host.announcements.setLimits(
            {units::EndpointId("e" + std::to_string(i)), routing::Incarnation(7)}, {1.6, {}},
            host.timers.now());
}

} // namespace

// Guards against forwarding a request under which endpoints crashed that other hosts used.
TEST_CASE("PeerGossip.CrashesSeenByDifferentHostsQuarantineARequestOnAllHosts")
{
    Fleet fleet(3);
    for (std::size_t host = 0; host < 3; ++host)
        fleet.hosts[host]->crashes.onCrash(
            Fatal,
            {units::EndpointId("e" + std::to_string(host)), routing::Incarnation(1700000000000)},
            fleet.hosts[host]->timers.now());
    for (std::size_t host = 0; host < 3; ++host)
        CHECK(fleet.awaitQuarantine(host));
}

// Guards against a restarted host that forwards a request quarantined long before.
TEST_CASE("PeerGossip.RestartedHostReceivesTheQuarantine")
{
    Fleet fleet(2);
    for (int endpoint = 0; endpoint < 3; ++endpoint)
        fleet.hosts[0]->crashes.onCrash(
            Fatal, {units::EndpointId("e" + std::to_string(endpoint)), routing::Incarnation(1)},
            fleet.hosts[0]->timers.now());
    REQUIRE(fleet.awaitQuarantine(1));
    fleet.start(1);
    REQUIRE_FALSE(fleet.isQuarantined(1));
    CHECK(fleet.awaitQuarantine(1));
}

// Guards against requests that are passed to a host which can't reach the endpoints either.
TEST_CASE("PeerGossip.UnreachablePoolsOfAHostReachOtherHosts")
{
    Fleet fleet(3);
    const std::vector<units::PoolName> lost{units::PoolName("a"), units::PoolName("b")};
    const auto lostOfFirst = [&] {
        for (const routing::PeerUpdate &host : fleet.hosts[2]->gossip.live()) {
            if (host.ip == addressOf(0))
                return host.unreachablePools;
        }
        return std::vector<units::PoolName>();
    };
    fleet.hosts[0]->gossip.setUnreachablePools(lost);
    CHECK(fleet.runUntil([&] { return lostOfFirst() == lost; }));
    fleet.hosts[0]->gossip.setUnreachablePools({});
    CHECK(fleet.runUntil([&] { return lostOfFirst().empty(); }));
}

// Guards against a coordinator that overloads an endpoint whose limit only other hosts received.
TEST_CASE("PeerGossip.LimitOfAnEndpointReachesOtherHosts")
{
    Fleet fleet(3);
    std::optional<routing::RateLimitUpdate> received;
    fleet.hosts[2]->gossip.onLimit(
        [&](const routing::RateLimitUpdate &update) { received = update; });
    const routing::EndpointInstance endpoint{units::EndpointId("e1"), routing::Incarnation(7)};
    fleet.hosts[1]->announcements.setLimits(endpoint, {1.6, 2.5}, fleet.hosts[1]->timers.now());
    REQUIRE(fleet.runUntil([&] { return received.has_value(); }));
    CHECK(received->endpoint == endpoint);
    CHECK(received->limits == routing::AnnouncedLimits{1.6, 2.5});
    received.reset();
    fleet.hosts[1]->announcements.setLimits(endpoint, {}, fleet.hosts[1]->timers.now());
    REQUIRE(fleet.runUntil([&] { return received && !received->limits.hasAny(); }));
}

// Guards against limits of some endpoints that wait until those of all others have been sent.
TEST_CASE("PeerGossip.LimitsOfManyEndpointsReachOtherHostsInSeconds")
{
    constexpr std::size_t Endpoints = 60;
    Fleet fleet(3);
    std::set<std::string> received;
    fleet.hosts[2]->gossip.onLimit([&](const routing::RateLimitUpdate &update) {
        received.insert(update.endpoint.id.value());
    });
    announceLimits(*fleet.hosts[1], Endpoints);
    fleet.runUntil([&] { return received.size() == Endpoints; });
    CHECK(received.size() == Endpoints);
}

// Guards against a host that becomes coordinator when it starts and does not know the limits.
TEST_CASE("PeerGossip.StartingHostReceivesTheLimitsInForce")
{
    constexpr std::size_t Endpoints = 12;
    Fleet fleet(2);
    announceLimits(*fleet.hosts[1], Endpoints);
    fleet.runUntil([&] {
        return fleet.hosts[1]
            ->announcements.takeLimitUpdates(1, fleet.hosts[1]->timers.now())
            .empty();
    });
    std::set<std::string> received;
    fleet.start(2);
    fleet.hosts[2]->gossip.onLimit([&](const routing::RateLimitUpdate &update) {
        received.insert(update.endpoint.id.value());
    });
    fleet.runUntil([&] { return received.size() == Endpoints; }, milliseconds(500));
    CHECK(received.size() == Endpoints);
}

// Guards against a host that goes on choosing an endpoint which told only another one that it
// leaves, also one that starts later.
TEST_CASE("PeerGossip.LeavingOfAnEndpointReachesOtherHosts")
{
    Fleet fleet(3);
    const routing::EndpointInstance endpoint{units::EndpointId("e1"), routing::Incarnation(7)};
    std::optional<routing::LeavingUpdate> received;
    const auto receive = [&](const routing::LeavingUpdate &update) {
        received = update;
    };
    fleet.hosts[2]->gossip.onLeaving(receive);
    fleet.hosts[1]->announcements.setLeaving(endpoint, fleet.hosts[1]->timers.now());
    REQUIRE(fleet.runUntil([&] { return received.has_value(); }));
    CHECK(received->endpoint == endpoint);
    fleet.runUntil([&] {
        return fleet.hosts[1]
            ->announcements.takeLeavingUpdates(1, fleet.hosts[1]->timers.now())
            .empty();
    });
    received.reset();
    fleet.start(3);
    fleet.hosts[3]->gossip.onLeaving(receive);
    CHECK(fleet.runUntil([&] { return received.has_value(); }));
}
