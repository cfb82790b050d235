#include <monsoongrade/routing/crashtracker.h>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <string>

using namespace monsoongrade;
using namespace monsoongrade::routing;
using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

constexpr std::size_t DatagramItems = 24;

RequestIdentity requestNumber(std::uint64_t number)
{
    return {units::WorkspaceName("w1"), RequestDigest(number)};
}

EndpointInstance endpointNumber(int number)
{
    return {units::EndpointId("e" + std::to_string(number)), Incarnation(1)};
}

const RequestIdentity Fatal = requestNumber(1);

// Crash trackers of several hosts, with a shared clock.
struct Hosts
{
    explicit Hosts(std::size_t count)
        : trackers(count)
    {
    }

    void crash(std::size_t host, int endpoint, const RequestIdentity &request = Fatal)
    {
        trackers[host].onCrash(request, endpointNumber(endpoint), now);
    }
    bool isQuarantined(std::size_t host, const RequestIdentity &request = Fatal) const
    {
        return trackers[host].quarantineRemaining(request, now).has_value();
    }
    // Each host sends its updates to all others once.
    void gossip()
    {
        for (CrashTracker &from : trackers) {
            const std::vector<CrashUpdate> updates = from.takeUpdates(DatagramItems, now);
            for (CrashTracker &to : trackers) {
                for (const CrashUpdate &each : updates) {
                    if (&to != &from)
                        to.receive(each, now);
                }
            }
        }
        now += milliseconds(250);
    }

    std::vector<CrashTracker> trackers;
    units::TimePoint now{hours(1)};
};

} // namespace

TEST_CASE("CrashTracker.ThirdCrashedEndpointQuarantinesTheRequest")
{
    Hosts hosts(1);
    hosts.crash(0, 1);
    hosts.crash(0, 2);
    CHECK_FALSE(hosts.isQuarantined(0));
    hosts.crash(0, 3);
    CHECK(hosts.isQuarantined(0));
    CHECK_FALSE(hosts.isQuarantined(0, requestNumber(2)));
    CHECK_FALSE(hosts.isQuarantined(0, {units::WorkspaceName("w2"), Fatal.digest}));
}

// Guards against counting one crash several times when the endpoint ran copies of a request.
TEST_CASE("CrashTracker.CrashOfOneEndpointCountsOnce")
{
    Hosts hosts(2);
    for (int copy = 0; copy < 5; ++copy)
        hosts.crash(std::size_t(copy % 2), 1);
    hosts.gossip();
    hosts.crash(0, 2);
    hosts.gossip();
    CHECK_FALSE(hosts.isQuarantined(0));
    CHECK_FALSE(hosts.isQuarantined(1));
}

TEST_CASE("CrashTracker.RestartedEndpointCountsAgain")
{
    CrashTracker tracker;
    const units::TimePoint now{hours(1)};
    for (int start = 1; start <= 3; ++start)
        tracker.onCrash(Fatal, {units::EndpointId("e1"), Incarnation(start)}, now);
    CHECK(tracker.quarantineRemaining(Fatal, now).has_value());
}

// Guards against hosts that each see too few crashes to act on.
TEST_CASE("CrashTracker.CrashesObservedByDifferentHostsAddUp")
{
    Hosts hosts(8);
    for (int host = 0; host < 3; ++host)
        hosts.crash(std::size_t(host), host);
    hosts.gossip();
    hosts.gossip();
    for (std::size_t host = 0; host < 8; ++host)
        CHECK(hosts.isQuarantined(host));
}

// Guards against a quarantine of requests that only ran beside one that crashes endpoints.
TEST_CASE("CrashTracker.CompletedRequestIsClearedOnAllHosts")
{
    Hosts hosts(3);
    for (int endpoint = 0; endpoint < 3; ++endpoint)
        hosts.crash(0, endpoint);
    hosts.gossip();
    REQUIRE(hosts.isQuarantined(2));
    hosts.trackers[1].onCompleted(Fatal, hosts.now);
    hosts.gossip();
    hosts.gossip();
    for (std::size_t host = 0; host < 3; ++host)
        CHECK_FALSE(hosts.isQuarantined(host));
    // Late or repeated updates about the earlier crashes are ignored.
    for (int round = 0; round < 10; ++round)
        hosts.gossip();
    for (std::size_t host = 0; host < 3; ++host)
        CHECK_FALSE(hosts.isQuarantined(host));
}

// Guards against a quarantine of a request that many callers send when several endpoints are lost
// at once; no attempt could clear it then.
TEST_CASE("CrashTracker.RecentlyCompletedRequestIsNotQuarantined")
{
    Hosts hosts(3);
    hosts.trackers[1].onCompleted(Fatal, hosts.now);
    hosts.now += seconds(20);
    for (int endpoint = 0; endpoint < 3; ++endpoint)
        hosts.crash(0, endpoint);
    for (int round = 0; round < 4; ++round)
        hosts.gossip();
    for (std::size_t host = 0; host < 3; ++host)
        CHECK_FALSE(hosts.isQuarantined(host));
    // A completed request may crash endpoints later, as with a new version of the engine.
    hosts.now += minutes(2);
    for (int endpoint = 10; endpoint < 13; ++endpoint)
        hosts.crash(0, endpoint);
    hosts.gossip();
    CHECK(hosts.isQuarantined(2));
}

// Guards against a quarantine of a request whose completion only a host saw that is gone.
TEST_CASE("CrashTracker.CompletionProtectsARequestAfterItsHostIsGone")
{
    Hosts hosts(3);
    hosts.crash(1, 0);
    hosts.gossip();
    hosts.trackers[0].onCompleted(Fatal, hosts.now);
    hosts.gossip();
    hosts.trackers[0] = CrashTracker();
    hosts.now += seconds(10);
    for (int endpoint = 1; endpoint < 4; ++endpoint)
        hosts.crash(1 + std::size_t(endpoint % 2), endpoint);
    for (int round = 0; round < 4; ++round)
        hosts.gossip();
    for (std::size_t host = 0; host < 3; ++host)
        CHECK_FALSE(hosts.isQuarantined(host));
    // Not for good: a new version of the engine may crash under it.
    hosts.now += minutes(1);
    for (int endpoint = 10; endpoint < 13; ++endpoint)
        hosts.crash(1, endpoint);
    hosts.gossip();
    CHECK(hosts.isQuarantined(2));
}

// Guards against a quarantine because the completion arrived before the crash that it clears.
TEST_CASE("CrashTracker.CompletionIsKeptForCrashesThatArriveLater")
{
    Hosts hosts(1);
    hosts.trackers[0].receive({CrashUpdate::Kind::Completed, Fatal, 0, {}, {}}, hosts.now);
    for (int endpoint = 0; endpoint < 3; ++endpoint)
        hosts.crash(0, endpoint);
    CHECK_FALSE(hosts.isQuarantined(0));
}

// Guards against quarantines after connections broke for another reason, as in a network fault.
TEST_CASE("CrashTracker.EndpointThatRespondsLaterIsNotCountedAsCrashed")
{
    Hosts hosts(3);
    for (int endpoint = 0; endpoint < 3; ++endpoint)
        hosts.crash(0, endpoint);
    hosts.gossip();
    REQUIRE(hosts.isQuarantined(1));
    // A response to something that was sent before the connection broke proves nothing.
    hosts.trackers[1].onAnswered(endpointNumber(0), hosts.now - seconds(1));
    CHECK(hosts.isQuarantined(1));
    hosts.trackers[1].onAnswered(endpointNumber(0), hosts.now);
    for (int round = 0; round < 10; ++round)
        hosts.gossip();
    for (std::size_t host = 0; host < 3; ++host)
        CHECK_FALSE(hosts.isQuarantined(host));
    // A later crash of the endpoint counts.
    hosts.crash(2, 0);
    hosts.gossip();
    CHECK(hosts.isQuarantined(0));
}

// Guards against responses of a restarted endpoint that clear the request which crashed it.
TEST_CASE("CrashTracker.LateResponseDoesNotClearTheEndpoint")
{
    Hosts hosts(1);
    for (int endpoint = 0; endpoint < 3; ++endpoint)
        hosts.crash(0, endpoint);
    hosts.now += seconds(2);
    for (int endpoint = 0; endpoint < 3; ++endpoint)
        hosts.trackers[0].onAnswered(endpointNumber(endpoint), hosts.now);
    CHECK(hosts.isQuarantined(0));
}

TEST_CASE("CrashTracker.QuarantineEndsAndDoublesWithTheNextCrash")
{
    Hosts hosts(1);
    for (int endpoint = 0; endpoint < 3; ++endpoint)
        hosts.crash(0, endpoint);
    const auto first = hosts.trackers[0].quarantineRemaining(Fatal, hosts.now);
    REQUIRE(first);
    hosts.now += *first;
    hosts.trackers[0].takeUpdates(DatagramItems, hosts.now);
    CHECK_FALSE(hosts.isQuarantined(0));
    hosts.now += minutes(1);
    hosts.crash(0, 4);
    const auto second = hosts.trackers[0].quarantineRemaining(Fatal, hosts.now);
    REQUIRE(second);
    CHECK(*second == 2 * *first);
}

TEST_CASE("CrashTracker.QuarantineTimeIsBounded")
{
    Hosts hosts(1);
    for (int endpoint = 0; endpoint < 1000; ++endpoint)
        hosts.crash(0, endpoint);
    const auto left = hosts.trackers[0].quarantineRemaining(Fatal, hosts.now);
    REQUIRE(left);
    CHECK(*left <= hours(24));
}

// Guards against a host that sends a quarantined request after a network partition or a restart.
TEST_CASE("CrashTracker.QuarantineIsResentToReturningHosts")
{
    Hosts hosts(2);
    for (int endpoint = 0; endpoint < 3; ++endpoint)
        hosts.crash(0, endpoint);
    for (int round = 0; round < 100; ++round)
        hosts.gossip();
    hosts.trackers[1] = CrashTracker();
    hosts.gossip();
    CHECK(hosts.isQuarantined(1));

    CrashTracker started;
    for (const CrashUpdate &update : hosts.trackers[0].quarantineUpdates(DatagramItems, hosts.now))
        started.receive(update, hosts.now);
    CHECK(started.quarantineRemaining(Fatal, hosts.now).has_value());
}

// Guards against quarantines that reach other hosts late because of many other pending updates.
TEST_CASE("CrashTracker.QuarantineReachesAllHostsWithinThreeSecondsOfManyCrashes")
{
    Hosts hosts(3);
    for (std::uint64_t other = 2; other < 150; ++other)
        hosts.crash(0, 0, requestNumber(other));
    for (int endpoint = 0; endpoint < 3; ++endpoint)
        hosts.crash(0, endpoint);
    const units::TimePoint deadline = hosts.now + seconds(3);
    while (!hosts.isQuarantined(2) && hosts.now < deadline)
        hosts.gossip();
    CHECK(hosts.isQuarantined(2));
}

// Guards against a quarantine that an operator can't end, or that protects the request for good.
TEST_CASE("CrashTracker.LiftEndsTheQuarantineOnAllHosts")
{
    Hosts hosts(3);
    for (int endpoint = 0; endpoint < 3; ++endpoint)
        hosts.crash(0, endpoint);
    hosts.gossip();
    REQUIRE(hosts.isQuarantined(2));
    hosts.trackers[1].lift(Fatal, hosts.now);
    for (int round = 0; round < 10; ++round)
        hosts.gossip();
    for (std::size_t host = 0; host < 3; ++host)
        CHECK_FALSE(hosts.isQuarantined(host));
    for (int endpoint = 10; endpoint < 13; ++endpoint)
        hosts.crash(0, endpoint);
    CHECK(hosts.isQuarantined(0));
}

// Guards against the quarantine of another part in place of the one that an operator has lifted.
TEST_CASE("CrashTracker.LiftOfAPartAlsoClearsThePartsBeforeIt")
{
    CrashTracker tracker;
    const units::TimePoint now{hours(1)};
    const RequestIdentity before = requestNumber(2);
    const RequestIdentity last = requestNumber(3);
    for (int endpoint = 0; endpoint < 3; ++endpoint) {
        tracker.onCrash(before, endpointNumber(endpoint), now, 1);
        tracker.onCrash(last, endpointNumber(endpoint), now, 2);
    }
    REQUIRE(tracker.quarantineRemaining(last, now));
    REQUIRE_FALSE(tracker.quarantineRemaining(before, now));
    tracker.lift(last, now);
    CHECK(tracker.quarantinedCount(now) == 0);
}

// Guards against memory use that grows with the number of requests running during crashes.
TEST_CASE("CrashTracker.RecordsAreBoundedAndQuarantinedOnesEvictedLast")
{
    Hosts hosts(1);
    for (int endpoint = 0; endpoint < 3; ++endpoint)
        hosts.crash(0, endpoint);
    for (std::uint64_t other = 2; other < 10000; ++other)
        hosts.crash(0, 0, requestNumber(other));
    CHECK(hosts.trackers[0].size() <= 4096);
    CHECK(hosts.isQuarantined(0));
}

TEST_CASE("CrashTracker.OldRecordsAreRemoved")
{
    Hosts hosts(1);
    for (std::uint64_t other = 2; other < 100; ++other)
        hosts.crash(0, 0, requestNumber(other));
    hosts.now += minutes(11);
    hosts.trackers[0].takeUpdates(DatagramItems, hosts.now);
    CHECK(hosts.trackers[0].size() == 0);
}

// Guards against hosts whose states stay different after lost, repeated and reordered updates.
TEST_CASE("CrashTracker.UpdatesInAnyOrderGiveTheSameQuarantine")
{
    CHECK(rc::check([] {
        const units::TimePoint start{hours(1)};
        std::vector<std::pair<CrashUpdate, units::TimePoint>> events;
        const auto count = *rc::gen::inRange(1, 9);
        for (int i = 0; i < count; ++i) {
            CrashUpdate update;
            update.request = requestNumber(std::uint64_t(*rc::gen::inRange(1, 3)));
            update.kind = *rc::gen::inRange(0, 4) == 0 ? CrashUpdate::Kind::Completed
                                                       : CrashUpdate::Kind::Crashed;
            update.endpoint = endpointNumber(i);
            events.emplace_back(update, start + milliseconds(i));
        }
        const units::TimePoint now = start + seconds(1);
        // A completion is recorded only if a crash is known, so each tracker starts with one.
        const auto deliver = [&](CrashTracker &tracker, const auto &ordered) {
            for (std::uint64_t number = 1; number < 3; ++number)
                tracker.onCrash(requestNumber(number), endpointNumber(-1), start - milliseconds(1));
            for (const auto &[update, at] : ordered) {
                CrashUpdate item = update;
                item.age = now - at;
                tracker.receive(item, now);
            }
        };
        CrashTracker inOrder;
        deliver(inOrder, events);
        const auto shuffled = *rc::gen::exec([events] {
            auto mixed = events;
            for (std::size_t i = mixed.size(); i > 1; --i)
                std::swap(mixed[i - 1], mixed[*rc::gen::inRange<std::size_t>(0, i)]);
            mixed.insert(mixed.end(), events.begin(),
                         events.begin() + *rc::gen::inRange<int>(0, int(events.size())));
            return mixed;
        });
        CrashTracker mixed;
        deliver(mixed, shuffled);
        for (std::uint64_t number = 1; number < 3; ++number)
            RC_ASSERT(inOrder.quarantineRemaining(requestNumber(number), now)
                      == mixed.quarantineRemaining(requestNumber(number), now));
    }));
}
