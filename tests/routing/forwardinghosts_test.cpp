#include <monsoongrade/routing/forwardinghosts.h>

#include <doctest/doctest.h>

#include <map>

using namespace monsoongrade;
using namespace monsoongrade::routing;
using std::chrono::milliseconds;

namespace {

const units::PoolName Pool("pool");
const units::FailureDomain OwnDomain("d1");

PeerUpdate hostIn(const std::string &ip, const std::string &domain)
{
    PeerUpdate host;
    host.ip = ip;
    host.failureDomain = units::FailureDomain(domain);
    host.state = PeerState::Serving;
    host.millicores = 250;
    return host;
}

struct ForwardingFixture
{
    std::string select(const std::vector<std::string> &excluded = {}) const
    {
        return hosts.select(live, Pool, OwnDomain, excluded, now);
    }

    ForwardingHosts hosts;
    std::vector<PeerUpdate> live{hostIn("a", "d1"), hostIn("b", "d2"), hostIn("c", "d2")};
    units::TimePoint now = units::TimePoint{} + std::chrono::seconds(100);
};

} // namespace

TEST_CASE("ForwardingHosts.HostOfTheOwnDomainComesFirst")
{
    const ForwardingFixture fixture;
    CHECK(fixture.select() == "a");
    CHECK(fixture.select({"a", "b"}) == "c");
    CHECK(fixture.select({"a", "b", "c"}).empty());
}

// Guards against one host that gets the requests of all hosts without a path.
TEST_CASE("ForwardingHosts.RequestsAreSpreadByProcessorShare")
{
    ForwardingFixture fixture;
    fixture.live[2].millicores = 500;
    std::map<std::string, int> forwarded;
    for (int i = 0; i < 40; ++i) {
        const std::string host = fixture.select();
        ++forwarded[host];
        fixture.hosts.onForwarded(host);
    }
    CHECK(forwarded["a"] > forwarded["b"]);
    CHECK(forwarded["c"] > forwarded["b"]);
    CHECK(forwarded["b"] >= 8);
    for (int i = 0; i < forwarded["a"]; ++i)
        fixture.hosts.onEnded("a");
    CHECK(fixture.select() == "a");
}

// Guards against a detour by a host that can't reach the endpoints either.
TEST_CASE("ForwardingHosts.HostsWithoutThePoolAreNotUsed")
{
    ForwardingFixture fixture;
    fixture.live[0].unreachablePools = {units::PoolName("other"), Pool};
    fixture.live[1].unreachablePools = {units::PoolName("other")};
    CHECK(fixture.select({"c"}) == "b");
    fixture.live[1].state = PeerState::Leaving;
    CHECK(fixture.select({"c"}).empty());
}

TEST_CASE("ForwardingHosts.FailedHostIsLeftOutForASecond")
{
    ForwardingFixture fixture;
    fixture.hosts.onFailed("a", Pool, fixture.now);
    fixture.now += milliseconds(900);
    CHECK(fixture.select() == "b");
    CHECK(fixture.hosts.select(fixture.live, units::PoolName("other"), OwnDomain, {}, fixture.now)
          == "a");
    fixture.now += milliseconds(200);
    CHECK(fixture.select() == "a");
}
