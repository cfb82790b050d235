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

// Ledgers of several hosts, with the time that they share.
struct Hosts
{
    explicit Hosts(std::size_t count)
        : ledgers(count)
    {
    }

    void crash(std::size_t host, int endpoint, const RequestIdentity &request = Fatal)
    {
        ledgers[host].onCrash(request, endpointNumber(endpoint), now);
    }
    bool isQuarantined(std::size_t host, const RequestIdentity &request = Fatal) const
    {
        return ledgers[host].quarantineRemaining(request, now).has_value();
    }
    // Each host tells all others once.
    void gossip()
    {
        for (CrashTracker &from : ledgers) {
            const std::vector<CrashUpdate> news = from.takeUpdates(DatagramItems, now);
            for (CrashTracker &to : ledgers) {
                for (const CrashUpdate &each : news) {
                    if (&to != &from)
                        to.receive(each, now);
                }
            }
        }
        now += milliseconds(250);
    }

    std::vector<CrashTracker> ledgers;
    units::TimePoint now{hours(1)};
};

} // namespace

TEST_CASE("CrashTracker.ThirdCrashedEndpointPutsARequestInQuarantine")
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

// Guards against counting one crash several times, when copies of a request ran there.
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
    CrashTracker ledger;
    const units::TimePoint now{hours(1)};
    for (int start = 1; start <= 3; ++start)
        ledger.onCrash(Fatal, {units::EndpointId("e1"), Incarnation(start)}, now);
    CHECK(ledger.quarantineRemaining(Fatal, now).has_value());
}

// Guards against hosts that each see too few crashes to act on.
TEST_CASE("CrashTracker.CrashesThatDifferentHostsSawCountTogether")
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
    hosts.ledgers[1].onCompleted(Fatal, hosts.now);
    hosts.gossip();
    hosts.gossip();
    for (std::size_t host = 0; host < 3; ++host)
        CHECK_FALSE(hosts.isQuarantined(host));
    // News of the earlier crashes, late or repeated, change nothing.
    for (int round = 0; round < 10; ++round)
        hosts.gossip();
    for (std::size_t host = 0; host < 3; ++host)
        CHECK_FALSE(hosts.isQuarantined(host));
}

// Guards against a quarantine of a request that many callers send, when several endpoints are lost
// at once; no attempt could clear it there.
TEST_CASE("CrashTracker.RequestThatWasAnsweredShortlyBeforeIsNotQuarantined")
{
    Hosts hosts(3);
    hosts.ledgers[1].onCompleted(Fatal, hosts.now);
    hosts.now += seconds(20);
    for (int endpoint = 0; endpoint < 3; ++endpoint)
        hosts.crash(0, endpoint);
    for (int round = 0; round < 4; ++round)
        hosts.gossip();
    for (std::size_t host = 0; host < 3; ++host)
        CHECK_FALSE(hosts.isQuarantined(host));
    // What once was answered may become fatal, as with a new version of the engine.
    hosts.now += minutes(2);
    for (int endpoint = 10; endpoint < 13; ++endpoint)
        hosts.crash(0, endpoint);
    hosts.gossip();
    CHECK(hosts.isQuarantined(2));
}

// Guards against a quarantine by connections that broke for another reason, as in a network fault.
TEST_CASE("CrashTracker.EndpointThatAnswersLaterHadNotCrashed")
{
    Hosts hosts(3);
    for (int endpoint = 0; endpoint < 3; ++endpoint)
        hosts.crash(0, endpoint);
    hosts.gossip();
    REQUIRE(hosts.isQuarantined(1));
    // An answer to something that was sent before the break proves nothing.
    hosts.ledgers[1].onAnswered(endpointNumber(0), hosts.now - seconds(1));
    CHECK(hosts.isQuarantined(1));
    hosts.ledgers[1].onAnswered(endpointNumber(0), hosts.now);
    for (int round = 0; round < 10; ++round)
        hosts.gossip();
    for (std::size_t host = 0; host < 3; ++host)
        CHECK_FALSE(hosts.isQuarantined(host));
    // It crashes after all, later.
    hosts.crash(2, 0);
    hosts.gossip();
    CHECK(hosts.isQuarantined(0));
}

// Guards against a restarted endpoint that clears the request which crashed the process before it.
TEST_CASE("CrashTracker.AnswerLongAfterTheBreakProvesNothing")
{
    Hosts hosts(1);
    for (int endpoint = 0; endpoint < 3; ++endpoint)
        hosts.crash(0, endpoint);
    hosts.now += seconds(2);
    for (int endpoint = 0; endpoint < 3; ++endpoint)
        hosts.ledgers[0].onAnswered(endpointNumber(endpoint), hosts.now);
    CHECK(hosts.isQuarantined(0));
}

TEST_CASE("CrashTracker.QuarantineEndsAndDoublesWithTheNextCrash")
{
    Hosts hosts(1);
    for (int endpoint = 0; endpoint < 3; ++endpoint)
        hosts.crash(0, endpoint);
    const auto first = hosts.ledgers[0].quarantineRemaining(Fatal, hosts.now);
    REQUIRE(first);
    hosts.now += *first;
    hosts.ledgers[0].takeUpdates(DatagramItems, hosts.now);
    CHECK_FALSE(hosts.isQuarantined(0));
    hosts.now += minutes(1);
    hosts.crash(0, 4);
    const auto second = hosts.ledgers[0].quarantineRemaining(Fatal, hosts.now);
    REQUIRE(second);
    CHECK(*second == 2 * *first);
}

TEST_CASE("CrashTracker.LongestQuarantineIsBounded")
{
    Hosts hosts(1);
    for (int endpoint = 0; endpoint < 1000; ++endpoint)
        hosts.crash(0, endpoint);
    const auto left = hosts.ledgers[0].quarantineRemaining(Fatal, hosts.now);
    REQUIRE(left);
    CHECK(*left <= hours(24));
}

// Guards against a host that returns after a cut, or restarts, and sends the request on.
TEST_CASE("CrashTracker.QuarantineIsToldAgainLongAfterwards")
{
    Hosts hosts(2);
    for (int endpoint = 0; endpoint < 3; ++endpoint)
        hosts.crash(0, endpoint);
    for (int round = 0; round < 100; ++round)
        hosts.gossip();
    hosts.ledgers[1] = CrashTracker();
    hosts.gossip();
    CHECK(hosts.isQuarantined(1));

    CrashTracker started;
    for (const CrashUpdate &news : hosts.ledgers[0].quarantineNews(DatagramItems, hosts.now))
        started.receive(news, hosts.now);
    CHECK(started.quarantineRemaining(Fatal, hosts.now).has_value());
}

// Guards against quarantines that reach other hosts late because much else is to be told.
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

// Guards against memory that grows with the requests seen under crashes.
TEST_CASE("CrashTracker.RecordsAreBoundedAndQuarantinedOnesStayLongest")
{
    Hosts hosts(1);
    for (int endpoint = 0; endpoint < 3; ++endpoint)
        hosts.crash(0, endpoint);
    for (std::uint64_t other = 2; other < 10000; ++other)
        hosts.crash(0, 0, requestNumber(other));
    CHECK(hosts.ledgers[0].size() <= 4096);
    CHECK(hosts.isQuarantined(0));
}

TEST_CASE("CrashTracker.RecordsAreForgotten")
{
    Hosts hosts(1);
    for (std::uint64_t other = 2; other < 100; ++other)
        hosts.crash(0, 0, requestNumber(other));
    hosts.now += minutes(11);
    hosts.ledgers[0].takeUpdates(DatagramItems, hosts.now);
    CHECK(hosts.ledgers[0].size() == 0);
}

// Guards against hosts that keep different opinions after lost, repeated and reordered news.
TEST_CASE("CrashTracker.NewsInAnyOrderGivesTheSameQuarantine")
{
    CHECK(rc::check([] {
        const units::TimePoint start{hours(1)};
        std::vector<std::pair<CrashUpdate, units::TimePoint>> events;
        const auto count = *rc::gen::inRange(1, 9);
        for (int i = 0; i < count; ++i) {
            CrashUpdate news;
            news.request = requestNumber(std::uint64_t(*rc::gen::inRange(1, 3)));
            news.kind = *rc::gen::inRange(0, 4) == 0 ? CrashUpdate::Kind::Completed
                                                     : CrashUpdate::Kind::Crashed;
            news.endpoint = endpointNumber(i);
            events.emplace_back(news, start + milliseconds(i));
        }
        const units::TimePoint now = start + seconds(1);
        // A host keeps a completion only if it knows of a crash, so each knows of one at first.
        const auto tell = [&](CrashTracker &ledger, const auto &ordered) {
            for (std::uint64_t number = 1; number < 3; ++number)
                ledger.onCrash(requestNumber(number), endpointNumber(-1), start - milliseconds(1));
            for (const auto &[news, at] : ordered) {
                CrashUpdate told = news;
                told.age = now - at;
                ledger.receive(told, now);
            }
        };
        CrashTracker inOrder;
        tell(inOrder, events);
        const auto shuffled = *rc::gen::exec([events] {
            auto mixed = events;
            for (std::size_t i = mixed.size(); i > 1; --i)
                std::swap(mixed[i - 1], mixed[*rc::gen::inRange<std::size_t>(0, i)]);
            mixed.insert(mixed.end(), events.begin(),
                         events.begin() + *rc::gen::inRange<int>(0, int(events.size())));
            return mixed;
        });
        CrashTracker mixed;
        tell(mixed, shuffled);
        for (std::uint64_t number = 1; number < 3; ++number)
            RC_ASSERT(inOrder.quarantineRemaining(requestNumber(number), now)
                      == mixed.quarantineRemaining(requestNumber(number), now));
    }));
}
