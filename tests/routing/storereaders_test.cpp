#include "storefleet.h"

#include <monsoongrade/routing/storereaders.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <set>

using namespace monsoongrade;
using namespace monsoongrade::routing;

namespace {

const PeerUpdate &hostWith(const std::string &ip, const std::vector<PeerUpdate> &hosts)
{
    return *std::find_if(hosts.begin(), hosts.end(),
                         [&](const PeerUpdate &host) { return host.ip == ip; });
}

} // namespace

TEST_CASE("StoreReaders.CountIsIndependentOfFleetSizeAndDomainsAreCovered")
{
    for (const int size : {30, 200}) {
        const std::vector<PeerUpdate> hosts = storeFleet(size);
        const std::vector<std::string> readers = storeReaders(hosts, StoreReaderCount);
        REQUIRE(readers.size() == StoreReaderCount);
        std::set<std::string> domains;
        for (std::size_t i = 0; i < 5; ++i) {
            const PeerUpdate &reader = hostWith(readers[i], hosts);
            domains.insert(reader.failureDomain.value());
            CHECK(reader.millicores == 500);
        }
        CHECK(domains.size() == 5);
    }
}

TEST_CASE("StoreReaders.HostsThatStopServingRemainReaders")
{
    // During a store outage one host after another stops serving. If readers were chosen among the
    // serving hosts, more and more hosts would call the store.
    std::vector<PeerUpdate> hosts = storeFleet(100);
    const std::vector<std::string> before = storeReaders(hosts, StoreReaderCount);
    for (std::size_t i = 0; i < hosts.size(); i += 2)
        hosts[i].state = PeerState::NotReady;
    CHECK(storeReaders(hosts, StoreReaderCount) == before);
}

TEST_CASE("StoreReaders.LeavingRefusedAndNewHostsAreReplaced")
{
    std::vector<PeerUpdate> hosts = storeFleet(100);
    const std::vector<std::string> before = storeReaders(hosts, StoreReaderCount);
    for (PeerUpdate &host : hosts) {
        if (host.ip == before[0])
            host.state = PeerState::Leaving;
        if (host.ip == before[1])
            host.isStoreRefused = true;
        if (host.ip == before[2])
            host.uptime = std::chrono::milliseconds(500);
    }
    const std::vector<std::string> now = storeReaders(hosts, StoreReaderCount, {before[3]});
    CHECK(now.size() == StoreReaderCount);
    for (int i = 0; i < 4; ++i)
        CHECK(std::find(now.begin(), now.end(), before[std::size_t(i)]) == now.end());
}

TEST_CASE("StoreReaders.CallersAreSpreadWithinTheirFailureDomain")
{
    const std::vector<PeerUpdate> hosts = storeFleet(200);
    const std::vector<std::string> readers = storeReaders(hosts, StoreReaderCount);
    std::map<std::string, int> callers;
    for (const PeerUpdate &host : hosts) {
        const std::vector<std::string> order = readerOrder(host.ip, readers, hosts);
        REQUIRE(order.size() == readers.size());
        CHECK(hostWith(order.front(), hosts).failureDomain == host.failureDomain);
        ++callers[order.front()];
    }
    for (const auto &[reader, count] : callers)
        CHECK(count <= 50);
}
