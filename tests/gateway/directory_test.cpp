#include <monsoongrade/gateway/directory.h>

#include <doctest/doctest.h>

#include <map>
#include <set>

using namespace monsoongrade;
using gateway::hostsForCallers;
using routing::PeerState;
using routing::PeerUpdate;

namespace {

using Hosts = std::vector<std::string>;

PeerUpdate peer(const std::string &ip, PeerState state, const std::string &domain = "d")
{
    PeerUpdate update;
    update.ip = ip;
    update.state = state;
    update.failureDomain = units::FailureDomain(domain);
    return update;
}

// Returns count hosts, a third of them in each of three domains.
std::vector<PeerUpdate> fleet(int count)
{
    std::vector<PeerUpdate> hosts;
    for (int i = 0; i < count; ++i) {
        const std::string domain = std::to_string(i % 3);
        hosts.push_back(
            peer("10." + domain + ".0." + std::to_string(i), PeerState::Serving, domain));
    }
    return hosts;
}

} // namespace

TEST_CASE("Directory.NamesServingHostsAndNeverLeavingOnes")
{
    const auto hosts = [](PeerState own, PeerState first, PeerState second) {
        return hostsForCallers(peer("own", own), {peer("p1", first), peer("p2", second)},
                               units::FailureDomain("d"), 64);
    };
    CHECK(hosts(PeerState::Serving, PeerState::Serving, PeerState::Leaving) == Hosts{"own", "p1"});
    CHECK(hosts(PeerState::Leaving, PeerState::Serving, PeerState::NotReady) == Hosts{"p1"});
    CHECK(hosts(PeerState::NotReady, PeerState::NotReady, PeerState::Leaving)
          == Hosts{"own", "p1"});
    CHECK(hosts(PeerState::Leaving, PeerState::Leaving, PeerState::Leaving) == Hosts{"own"});
}

TEST_CASE("Directory.EachHostOfALargeFleetGetsCallers")
{
    // Guards against naming the first 64 of 81 hosts by address, which left 17 hosts without
    // callers and overloaded the others.
    const std::vector<PeerUpdate> all = fleet(81);
    std::map<std::string, int> named;
    for (const char *domain : {"0", "1", "2"}) {
        for (const std::string &ip : hostsForCallers(all[0], {all.begin() + 1, all.end()},
                                                     units::FailureDomain(domain), 64))
            ++named[ip];
    }
    CHECK(named.size() == 81);
}

TEST_CASE("Directory.CallersStayInTheirDomainIfItHasEnoughHosts")
{
    const std::vector<PeerUpdate> all = fleet(81);
    const Hosts hosts
        = hostsForCallers(all[0], {all.begin() + 1, all.end()}, units::FailureDomain("1"), 64);
    CHECK(hosts.size() == 27);
    for (const std::string &ip : hosts)
        CHECK_MESSAGE(ip.substr(0, 5) == "10.1.", ip, " is not in domain 1");
    const std::vector<PeerUpdate> small = fleet(6);
    CHECK(hostsForCallers(small[0], {small.begin() + 1, small.end()}, units::FailureDomain("1"), 64)
              .size()
          == 6);
}

TEST_CASE("Directory.AllHostsGiveTheSameAnswer")
{
    // Callers query several hosts in turn. If each host named a different subset, callers would
    // close and reopen connections after each answer.
    const std::vector<PeerUpdate> all = fleet(81);
    std::set<Hosts> answers;
    for (std::size_t own = 0; own < 3; ++own) {
        std::vector<PeerUpdate> others = all;
        others.erase(others.begin() + std::ptrdiff_t(own));
        Hosts hosts = hostsForCallers(all[own], others, units::FailureDomain("elsewhere"), 64);
        CHECK(hosts.size() == 64);
        answers.insert(hosts);
    }
    CHECK(answers.size() == 1);
}

// Guards against callers that keep coming to hosts which can serve them only through others.
TEST_CASE("Directory.HostsThatReachAllPoolsComeAlone")
{
    std::vector<PeerUpdate> all = fleet(8);
    const auto named = [&] {
        return hostsForCallers(all[0], {all.begin() + 1, all.end()}, units::FailureDomain("0"), 64);
    };
    for (int i = 0; i < 6; ++i)
        all[std::size_t(i)].unreachablePools = {units::PoolName("pool")};
    CHECK(named() == Hosts{all[6].ip, all[7].ip});
}

// Guards against one host that gets the connections of the callers of all others.
TEST_CASE("Directory.AllHostsAreNamedIfFewReachAllPools")
{
    std::vector<PeerUpdate> all = fleet(8);
    const auto named = [&] {
        return hostsForCallers(all[0], {all.begin() + 1, all.end()}, units::FailureDomain("0"), 64)
            .size();
    };
    for (int i = 0; i < 7; ++i)
        all[std::size_t(i)].unreachablePools = {units::PoolName("pool")};
    CHECK(named() == 8);
    all[7].unreachablePools = {units::PoolName("pool")};
    CHECK(named() == 8);
}
