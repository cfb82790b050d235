#include <membership/fakefleet.h>

#include <doctest/doctest.h>

namespace monsoongrade::membership {

namespace {

constexpr std::size_t Nobody = 1000000;

double seconds(units::Duration time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

TEST_CASE("MembershipProtocol.LeavingReachesAllWithinASecond")
{
    FakeFleet fleet(16);
    fleet.run(5s);
    fleet.protocol(3).leave();
    const auto took = fleet.runUntil(
        [&] {
            return fleet.all(
                3, [&](std::size_t i) { return fleet.protocol(i).find(FakeFleet::id(3))->leaving; });
        },
        5s);
    CHECK_MESSAGE(took <= 1s, "expected at most 1 s, actual ", seconds(took));
}

TEST_CASE("MembershipProtocol.LeavingOutranksTheList")
{
    // Callers would be sent to a host that is about to go: it has said that it leaves, the
    // platform's list lags and calls it live.
    FakeFleet fleet(4);
    fleet.run(3s);
    fleet.protocol(1).leave();
    fleet.run(1s);
    fleet.readList(0);
    for (const Member &member : fleet.protocol(0).view().liveEntryHosts())
        CHECK(member.host != FakeFleet::hostName(1));
}

TEST_CASE("MembershipProtocol.DeadDaemonIsSuspectedThenDead")
{
    FakeFleet fleet(8);
    fleet.run(5s);
    fleet.kill(2);
    const auto suspected = fleet.runUntil(
        [&] {
            return fleet.all(
                2, [&](std::size_t i) { return fleet.healthOf(2, i) != Health::Alive; });
        },
        20s);
    CHECK_MESSAGE(suspected <= 6s, "expected at most 6 s, actual ", seconds(suspected));
    const auto dead = fleet.runUntil(
        [&] {
            return fleet.all(2,
                             [&](std::size_t i) { return fleet.healthOf(2, i) == Health::Dead; });
        },
        20s);
    CHECK_MESSAGE(dead <= 6s, "expected at most 6 s more, actual ", seconds(dead));
}

TEST_CASE("MembershipProtocol.FrozenDaemonThatWakesDeniesItsDeath")
{
    // Callers would be kept away from a healthy host for good, or the woken host would send them
    // away from all others: it was frozen for 30 s, the others hold it dead, and all its own
    // deadlines for the others have run out.
    FakeFleet fleet(8);
    fleet.run(5s);
    fleet.freeze(4);
    fleet.run(30s);
    CHECK(fleet.all(4, [&](std::size_t i) { return fleet.healthOf(4, i) == Health::Dead; }));
    fleet.wake(4);
    fleet.run(200ms);
    for (std::size_t i = 0; i < 8; ++i)
        CHECK_MESSAGE((i == 4 || fleet.healthOf(i, 4) == Health::Alive),
                      "the woken daemon holds no other for anything but alive: ", i);
    fleet.run(5s);
    CHECK(fleet.protocol(4).counters().refutations >= 1);
    CHECK(fleet.all(4, [&](std::size_t i) { return fleet.healthOf(4, i) == Health::Alive; }));
}

TEST_CASE("MembershipProtocol.FrozenOldProcessGivesWayToItsReplacement")
{
    // Two processes of one name would take turns in the eyes of the rest: a host was frozen and
    // replaced under the same name, and then woke up.
    FakeFleet fleet(4);
    fleet.run(40s);
    MemberRecord replacement = fleet.protocol(1).self();
    replacement.life += 1000000;
    PeerMessage message;
    message.from = replacement;
    fleet.protocol(1).receive(message);
    CHECK(fleet.protocol(1).isSuperseded());
    CHECK(fleet.protocol(1).tick().empty());
}

TEST_CASE("MembershipProtocol.OneDirectionOfALinkCutIsNoDeath")
{
    // A healthy host would be left out by all because one other can't reach it: 0's messages to
    // each other host are lost one way in turn, while everybody else reaches both.
    for (std::size_t other = 1; other < 6; ++other) {
        FakeFleet fleet(6);
        fleet.run(5s);
        fleet.cutLink(0, other);
        fleet.run(30s);
        CHECK(fleet.all(Nobody, [&](std::size_t i) {
            return (i == 0 || fleet.healthOf(0, i) == Health::Alive)
                && (i == other || fleet.healthOf(other, i) == Health::Alive);
        }));
    }
}

TEST_CASE("MembershipProtocol.HealedCutBringsBothSidesTogether")
{
    // After a cut that lasted long both halves hold each other dead and would stay apart.
    FakeFleet fleet(8);
    fleet.run(5s);
    for (std::size_t a = 0; a < 4; ++a) {
        for (std::size_t b = 4; b < 8; ++b) {
            fleet.cutLink(a, b);
            fleet.cutLink(b, a);
        }
    }
    fleet.run(60s);
    CHECK(fleet.healthOf(5, 0) == Health::Dead);
    fleet.mendLinks();
    fleet.run(15s);
    CHECK(fleet.all(Nobody, [&](std::size_t i) {
        return fleet.all(i, [&](std::size_t j) { return fleet.healthOf(j, i) == Health::Alive; });
    }));
}

TEST_CASE("MembershipProtocol.RestartedDaemonIsTakenBackUnderTheSameAddress")
{
    FakeFleet fleet(5);
    fleet.run(5s);
    fleet.protocol(2).leave();
    fleet.run(1s);
    fleet.kill(2);
    fleet.run(20s);
    fleet.start(2);
    fleet.run(3s);
    CHECK(fleet.all(2, [&](std::size_t i) {
        const MemberRecord *record = fleet.protocol(i).find(FakeFleet::id(2));
        return record != nullptr && record->health == Health::Alive && !record->leaving;
    }));
}

TEST_CASE("MembershipProtocol.StartsInAnOutageFromOneKnownPeer")
{
    FakeFleet fleet(6);
    fleet.run(5s);
    fleet.platformDown = true;
    fleet.start(6);
    fleet.protocol(6).addSeed(fleet.protocol(0).self());
    fleet.run(4s);
    CHECK(fleet.protocol(6).members().size() == 6);
    CHECK(fleet.all(6, [&](std::size_t i) { return fleet.healthOf(6, i) == Health::Alive; }));
}

TEST_CASE("MembershipProtocol.GenerationReachesAllWithAPeerThatHasIt")
{
    FakeFleet fleet(16);
    fleet.run(5s);
    fleet.protocol(7).setGeneration(units::Generation(12));
    fleet.run(2s);
    // Only neighbours learn of it: the others do once these have it in force themselves.
    std::size_t told = 0;
    for (std::size_t i = 0; i < 16; ++i)
        told += fleet.protocol(i).newerConfigurationAt() ? 1 : 0;
    CHECK(told >= 8);
}

} // namespace monsoongrade::membership
