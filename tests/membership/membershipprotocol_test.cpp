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
            return fleet.all(3, [&](std::size_t i) {
                return fleet.protocol(i).find(FakeFleet::id(3))->leaving;
            });
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
    fleet.protocol(2).leave();
    fleet.run(1s);
    fleet.readList(0);
    const auto live = fleet.protocol(0).view().liveEntryHosts();
    REQUIRE(live.size() == 1);
    CHECK(live[0].host == FakeFleet::id(0).host);
    CHECK(fleet.protocol(0).view().liveSchedulerHosts().size() == 2);
}

TEST_CASE("MembershipProtocol.DeadDaemonIsSuspectedThenDead")
{
    FakeFleet fleet(8);
    fleet.run(5s);
    fleet.kill(2);
    const auto suspected = fleet.runUntil(
        [&] {
            return fleet.all(2,
                             [&](std::size_t i) { return fleet.healthOf(2, i) != Health::Alive; });
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

TEST_CASE("MembershipProtocol.WokenDaemonSuspectsNobodyForItsOwnPause")
{
    // Callers would be sent away from healthy hosts: a daemon was frozen just after a probe, the
    // answer was lost with its connection, and on waking up the probe's time has long run out.
    FakeFleet fleet(8);
    fleet.faults.delay = 30ms;
    fleet.run(5s);
    const auto probes = fleet.protocol(4).counters().probes;
    fleet.runUntil([&] { return fleet.protocol(4).counters().probes > probes; }, 1s);
    fleet.freeze(4);
    fleet.run(30s);
    const auto suspicions = fleet.protocol(4).counters().suspicions;
    fleet.wakeDeaf(4);
    fleet.run(5s);
    CHECK(fleet.protocol(4).counters().suspicions == suspicions);
}

TEST_CASE("MembershipProtocol.WokenDaemonDeclaresNobodyDeadOnAnOldSuspicion")
{
    // A healthy host would be held dead: daemon 4 suspects 5, is frozen, meanwhile 5 denies it
    // to all others, and 4 wakes up with the old suspicion's time over.
    FakeFleet fleet(8);
    fleet.run(5s);
    fleet.freeze(5);
    fleet.runUntil([&] { return fleet.healthOf(5, 4) == Health::Suspected; }, 10s);
    REQUIRE(fleet.healthOf(5, 4) == Health::Suspected);
    fleet.freeze(4);
    fleet.wake(5);
    fleet.run(30s);
    fleet.wakeDeaf(4);
    const auto dead = fleet.runUntil([&] { return fleet.healthOf(5, 4) == Health::Dead; }, 5s);
    CHECK_MESSAGE(dead == 5s, "held dead after ", seconds(dead));
    CHECK(fleet.healthOf(5, 4) == Health::Alive);
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

TEST_CASE("MembershipProtocol.AnswerOfAnotherDaemonAtTheAddressProvesNothing")
{
    // A dead host would be held alive because its address was given to another one.
    units::ManualClock clock;
    MembershipProtocol protocol(clock, {FakeFleet::id(0), "127.33.0.1", {}, 1}, {}, 1);
    protocol.addSeed({FakeFleet::id(2), "127.33.0.2", {}, 1});
    for (int i = 0; i < 40; ++i) {
        for (const OutgoingMessage &outgoing : protocol.tick()) {
            PeerMessage ack;
            ack.kind = PeerMessageKind::Ack;
            ack.from = {FakeFleet::id(4), "127.33.0.2", {}, 1};
            ack.sequence = outgoing.message.sequence;
            protocol.receive(ack);
        }
        clock.advance(50ms);
    }
    CHECK(protocol.find(FakeFleet::id(2))->health == Health::Suspected);
}

TEST_CASE("MembershipProtocol.RestartedDaemonIsTakenBackUnderTheSameAddress")
{
    FakeFleet fleet(6);
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
