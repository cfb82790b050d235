#include <monsoongrade/routing/placinghosts.h>

#include <monsoongrade/units/stablehash.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>

using namespace monsoongrade;
using namespace monsoongrade::routing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

PeerUpdate host(const std::string &ip, units::Duration uptime, PeerState state = PeerState::Serving)
{
    PeerUpdate update;
    update.ip = ip;
    update.uptime = uptime;
    update.state = state;
    return update;
}

std::vector<std::string> orderOf(const std::vector<PeerUpdate> &hosts)
{
    units::WorkCount work;
    return rankCoordinators(hosts, work);
}

// A fleet of small and large hosts, some of which have started recently.
std::vector<PeerUpdate> mixedFleet(int size)
{
    std::vector<PeerUpdate> hosts;
    for (int i = 0; i < size; ++i) {
        const std::string ip = "10." + std::to_string(i / 250) + ".0." + std::to_string(i % 250);
        hosts.push_back(host(ip, seconds(i % 7 == 0 ? i % 40 : 60)));
        hosts.back().millicores = i % 20 == 0 ? 1000 : 120;
    }
    return hosts;
}

// Reference implementation: chooses the best of the remaining hosts repeatedly.
std::vector<std::string> orderByRepeatedChoice(std::vector<PeerUpdate> hosts)
{
    const auto hashOf = [](const PeerUpdate &each) {
        return units::spreadHash({each.ip});
    };
    std::vector<std::string> order;
    while (!hosts.empty()) {
        int most = 0;
        for (const PeerUpdate &each : hosts)
            most = std::max(most, each.millicores);
        units::Duration oldest{};
        for (const PeerUpdate &each : hosts) {
            if (each.millicores == most)
                oldest = std::max(oldest, each.uptime);
        }
        auto best = hosts.end();
        for (auto each = hosts.begin(); each != hosts.end(); ++each) {
            const bool isCandidate
                = each->millicores == most && each->uptime + seconds(3) >= oldest;
            if (isCandidate && (best == hosts.end() || hashOf(*each) > hashOf(*best)))
                best = each;
        }
        order.push_back(best->ip);
        hosts.erase(best);
    }
    return order;
}

} // namespace

TEST_CASE("CoordinatorRanking.RestartedHostIsRankedLast")
{
    // The coordinator is killed and restarts without state. The host that took over remains
    // coordinator, because it knows what is cached where.
    std::vector<PeerUpdate> hosts{host("10.0.0.1", seconds(60)), host("10.0.0.2", seconds(60)),
                                  host("10.0.0.3", seconds(60))};
    const std::string first = orderOf(hosts)[0];
    for (PeerUpdate &each : hosts) {
        if (each.ip == first)
            each.uptime = seconds(1);
    }
    const std::vector<std::string> after = orderOf(hosts);
    CHECK(after[0] != first);
    CHECK(after.back() == first);
}

TEST_CASE("CoordinatorRanking.HostsOfSimilarAgeAreRankedIdenticallyEverywhere")
{
    // All start within 0.3 s, and the uptimes in gossip differ by some hundred milliseconds.
    std::vector<PeerUpdate> one;
    std::vector<PeerUpdate> other;
    for (int i = 1; i <= 8; ++i) {
        const std::string ip = "10.0.0." + std::to_string(i);
        one.push_back(host(ip, milliseconds(20000 + i * 40)));
        other.push_back(host(ip, milliseconds(20500 - i * 50)));
    }
    std::reverse(other.begin(), other.end());
    CHECK(orderOf(one) == orderOf(other));
}

TEST_CASE("CoordinatorRanking.OnlyServingHostsAreRanked")
{
    CHECK(orderOf({host("10.0.0.1", seconds(9), PeerState::Leaving), host("10.0.0.2", seconds(1)),
                   host("10.0.0.3", seconds(9), PeerState::NotReady)})
          == std::vector<std::string>{"10.0.0.2"});
}

TEST_CASE("CoordinatorRanking.SmallHostIsRankedAfterNewerLargeHost")
{
    // Placing for the whole fleet takes nearly all the CPU of the smallest hosts; requests would
    // wait there longer than their targets.
    std::vector<PeerUpdate> hosts{host("10.0.0.1", seconds(60)), host("10.0.0.2", seconds(5))};
    hosts[0].millicores = 120;
    hosts[1].millicores = 500;
    CHECK(orderOf(hosts)[0] == "10.0.0.2");
}

TEST_CASE("CoordinatorRanking.LargeHostsAreRankedBeforeSmallOnes")
{
    // Guards against a small host as coordinator: it answers late, most hosts then place locally,
    // and shared parts are prefilled again all over the pool. The order within a size is by hash,
    // so many addresses are tried: a single pair may pass by chance.
    std::vector<PeerUpdate> hosts;
    for (int i = 1; i <= 81; ++i) {
        hosts.push_back(host("10.0.0." + std::to_string(i), seconds(60)));
        hosts.back().millicores = i % 13 == 0 ? 500 : 120;
    }
    const std::vector<std::string> order = orderOf(hosts);
    for (int i = 13; i <= 81; i += 13) {
        const std::string ip = "10.0.0." + std::to_string(i);
        const auto place = std::find(order.begin(), order.end(), ip) - order.begin();
        CHECK_MESSAGE(place < 6,
                      ip << " has 500 millicores; expected among the first 6, is at " << place);
    }
}

TEST_CASE("CoordinatorRanking.MatchesReferenceImplementation")
{
    for (const int size : {1, 8, 60, 80, 300})
        CHECK(orderOf(mixedFleet(size)) == orderByRepeatedChoice(mixedFleet(size)));
}

// Guards against a cost per gossip round that is quadratic in the number of hosts.
TEST_CASE("CoordinatorRanking.ComparisonsPerHostGrowLogarithmically")
{
    for (const int size : {60, 300, 1000, 2000}) {
        units::WorkCount work;
        rankCoordinators(mixedFleet(size), work);
        CHECK(double(work.value()) / size < 5 * std::log2(size));
    }
}
