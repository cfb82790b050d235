#include <membership/fakefleet.h>

#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

namespace monsoongrade::membership {

namespace {

constexpr std::size_t Hosts = 6;
constexpr auto KnownWithin = 3s;
constexpr auto MostLag = 50s;
const units::HostName Worker("worker-1");

// The truth on one endpoint host, and each daemon's late read of it.
struct LaggingFleet
{
    FakeFleet fleet{Hosts};
    // When the host was which, in order; true is leaving.
    std::vector<std::pair<units::TimePoint, bool>> truth{{fleet.clock().now(), false}};
    std::vector<units::Duration> lags;
    // Where given: each daemon's usual time between two reads; nothing: the platform is beyond its
    // reach. It reads sooner where a mark waits for it.
    std::vector<std::optional<units::Duration>> periods;
    std::vector<units::TimePoint> lastRead
        = std::vector<units::TimePoint>(Hosts, fleet.clock().now() - 1h);
    // When a daemon first could know of the present leaving.
    std::optional<units::TimePoint> knowable;
    std::vector<units::TimePoint> upSince
        = std::vector<units::TimePoint>(Hosts, fleet.clock().now());

    bool truthAt(units::TimePoint time) const
    {
        bool leaving = false;
        for (const auto &[since, value] : truth) {
            if (since <= time)
                leaving = value;
        }
        return leaving;
    }
    bool isLeaving() const { return truth.back().second; }
    void change(bool leaving)
    {
        truth.emplace_back(fleet.clock().now(), leaving);
        knowable.reset();
    }
    bool holdsLeaving(std::size_t i)
    {
        return fleet.protocol(i).view().leavingEndpointHosts.count(Worker) > 0;
    }

    void poll(std::size_t i)
    {
        const bool seen = truthAt(fleet.clock().now() - lags[i]);
        fleet.endpoints
            = {{Worker, "127.33.1.1", units::FailureDomain(), platform::HostRole::Endpoint,
                seen ? platform::HostState::Leaving : platform::HostState::Live}};
        fleet.readList(i);
        lastRead[i] = fleet.clock().now();
        // Only a read of the present leaving counts, not one of an earlier.
        if (seen && isLeaving() && fleet.clock().now() - lags[i] >= truth.back().first && !knowable)
            knowable = fleet.clock().now();
    }
    bool isDue(std::size_t i)
    {
        if (periods.empty())
            return true;
        if (!periods[i])
            return false;
        const auto urgent = fleet.protocol(i).marks().nextReadWithin();
        return fleet.clock().now() - lastRead[i] >= std::min(*periods[i], urgent.value_or(1h));
    }
    void run(units::Duration time)
    {
        for (auto left = time; left > 0s; left -= 500ms) {
            fleet.run(500ms);
            for (std::size_t i = 0; i < Hosts; ++i) {
                if (!fleet.platformDown && fleet.isUp(i) && left % 2s == i % 4 * 500ms && isDue(i))
                    poll(i);
            }
            check();
        }
    }
    // No daemon gives new work to a leaving host later than the bound.
    void check()
    {
        const auto now = fleet.clock().now();
        for (std::size_t i = 0; knowable && i < Hosts; ++i) {
            if (fleet.isUp(i) && now - *knowable > KnownWithin && now - upSince[i] > KnownWithin)
                RC_ASSERT(holdsLeaving(i));
        }
    }
};

struct NoModel
{
};
using Command = rc::state::Command<NoModel, LaggingFleet>;

struct Change : Command
{
    bool leaving = *rc::gen::arbitrary<bool>();
    int seconds = *rc::gen::inRange(1, 90);
    void run(const NoModel &, LaggingFleet &sut) const override
    {
        if (sut.isLeaving() != leaving)
            sut.change(leaving);
        sut.run(std::chrono::seconds(seconds));
    }
    void show(std::ostream &out) const override
    {
        out << "Change(" << (leaving ? "leaving" : "live") << ", " << seconds << " s)";
    }
};

struct Outage : Command
{
    bool down = *rc::gen::arbitrary<bool>();
    int seconds = *rc::gen::inRange(1, 90);
    void run(const NoModel &, LaggingFleet &sut) const override
    {
        sut.fleet.platformDown = down;
        sut.run(std::chrono::seconds(seconds));
    }
    void show(std::ostream &out) const override
    {
        out << "Outage(" << down << ", " << seconds << " s)";
    }
};

struct FreezeFor : Command
{
    std::size_t host = *rc::gen::inRange<std::size_t>(0, Hosts);
    int seconds = *rc::gen::inRange(1, 40);
    void run(const NoModel &, LaggingFleet &sut) const override
    {
        sut.fleet.freeze(host);
        sut.run(std::chrono::seconds(seconds));
        sut.fleet.wake(host);
        sut.upSince[host] = sut.fleet.clock().now();
        sut.run(1s);
    }
    void show(std::ostream &out) const override
    {
        out << "FreezeFor(" << host << ", " << seconds << " s)";
    }
};

struct Restart : Command
{
    std::size_t host = *rc::gen::inRange<std::size_t>(0, Hosts);
    void run(const NoModel &, LaggingFleet &sut) const override
    {
        sut.fleet.kill(host);
        sut.run(2s);
        const bool down = std::exchange(sut.fleet.platformDown, true);
        sut.fleet.start(host);
        sut.fleet.platformDown = down;
        const std::size_t other = (host + 1) % Hosts;
        sut.fleet.protocol(host).addSeed(sut.fleet.protocol(other).self());
        sut.upSince[host] = sut.fleet.clock().now();
        sut.run(4s);
    }
    void show(std::ostream &out) const override { out << "Restart(" << host << ")"; }
};

} // namespace

TEST_CASE("LeavingEndpoint.IsKnownToAllWhateverTheListSaysLater")
{
    // Requests would be sent to an endpoint that goes away under them. The host leaves, comes
    // back and leaves again; each daemon's list lags by up to 50 s, the platform has outages, and
    // daemons are frozen and restarted. From 3 s after the first daemon's read of it, every
    // daemon must hold the host for leaving, for as long as it is.
    CHECK(rc::check("endpoint hosts that leave", [] {
        LaggingFleet sut;
        for (std::size_t i = 0; i < Hosts; ++i)
            sut.lags.push_back(*rc::gen::element<units::Duration>(0s, 5s, 30s, MostLag));
        sut.run(10s);
        rc::state::check(
            NoModel(), sut,
            rc::state::gen::execOneOfWithArgs<Change, Change, Outage, FreezeFor, Restart>());
        // Back for good: it must get work again on every daemon.
        sut.fleet.platformDown = false;
        if (sut.isLeaving())
            sut.change(false);
        sut.run(MostLag + 70s);
        for (std::size_t i = 0; i < Hosts; ++i)
            RC_ASSERT(!sut.holdsLeaving(i));
    }));
}

TEST_CASE("LeavingEndpoint.IsKnownToAllWhereMostReadTheListSeldom")
{
    // The same, but the daemons read the list each minute to ten minutes, and some never reach the
    // platform: they live by the others' news.
    CHECK(rc::check("endpoint hosts that leave, seldom read", [] {
        LaggingFleet sut;
        for (std::size_t i = 0; i < Hosts; ++i) {
            sut.lags.push_back(*rc::gen::element<units::Duration>(0s, 5s, 30s, MostLag));
            sut.periods.push_back(
                *rc::gen::element<std::optional<units::Duration>>(60s, 200s, 600s, std::nullopt));
        }
        sut.periods[0] = 60s;
        sut.run(10s);
        rc::state::check(
            NoModel(), sut,
            rc::state::gen::execOneOfWithArgs<Change, Change, Outage, FreezeFor, Restart>());
        sut.fleet.platformDown = false;
        if (sut.isLeaving())
            sut.change(false);
        // Its first read, and twice the wait behind it: others may have overruled the first end.
        sut.run(MostLag + 60s + 3 * 80s);
        for (std::size_t i = 0; i < Hosts; ++i)
            RC_ASSERT(!sut.holdsLeaving(i));
    }));
}

// The platform takes an entry host out of its list's live ones. Only one daemon has read that; the
// others read again minutes later and would go on sending callers there.
TEST_CASE("LeavingEndpoint.EntryHostThatOneDaemonReadsAsLeavingIsLeftOutByAll")
{
    FakeFleet fleet(8);
    fleet.run(5s);
    auto hosts = fleet.list();
    hosts[2].state = platform::HostState::Leaving;
    fleet.protocol(0).applyList(hosts);
    fleet.run(3s);
    for (std::size_t i = 0; i < 8; ++i) {
        for (const Member &member : fleet.protocol(i).view().entryHosts)
            CHECK(member.leaving == (member.host == hosts[2].name));
        CHECK(fleet.protocol(i).view().leavingEndpointHosts.empty());
    }
}

TEST_CASE("LeavingEndpoint.SuspicionNeverOverrulesLeaving")
{
    FakeFleet fleet(4);
    fleet.endpoints = {{Worker, "127.33.1.1", units::FailureDomain(), platform::HostRole::Endpoint,
                        platform::HostState::Leaving}};
    fleet.readList(0);
    fleet.run(2s);
    fleet.protocol(1).setEndpointSuspected(Worker, true);
    fleet.protocol(1).setEndpointSuspected(Worker, false);
    fleet.run(2s);
    for (std::size_t i = 0; i < 4; ++i)
        CHECK(fleet.protocol(i).view().leavingEndpointHosts.count(Worker) == 1);
}

} // namespace monsoongrade::membership
