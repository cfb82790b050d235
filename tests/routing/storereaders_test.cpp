#include <monsoongrade/routing/storereaders.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <set>

using namespace monsoongrade;
using namespace monsoongrade::routing;

namespace {

std::vector<PeerNews> fleet(int hosts)
{
    std::vector<PeerNews> result;
    for (int i = 0; i < hosts; ++i) {
        PeerNews host;
        host.ip = "10.0.0." + std::to_string(i);
        host.failureDomain = units::FailureDomain("z" + std::to_string(i % 3));
        host.state = PeerState::Serving;
        host.millicores = i % 4 == 0 ? 500 : 120;
        result.push_back(host);
    }
    return result;
}

} // namespace

TEST_CASE("StoreReaders.InASmallFleetEachHostReads")
{
    CHECK(storeReaders(fleet(10)).empty());
    CHECK(readerFor("10.0.0.1", fleet(10)).empty());
}

TEST_CASE("StoreReaders.FewHostsWithMostProcessorReadForALargeFleet")
{
    CHECK(storeReaders(fleet(30)).size() == 4);
    const std::vector<PeerNews> hosts = fleet(100);
    const std::vector<std::string> readers = storeReaders(hosts);
    CHECK(readers.size() == 6);
    std::set<std::string> asked;
    for (const PeerNews &host : hosts) {
        const std::string reader = readerFor(host.ip, hosts);
        const bool isReader = std::find(readers.begin(), readers.end(), host.ip) != readers.end();
        CHECK(reader.empty() == isReader);
        if (!reader.empty())
            asked.insert(reader);
    }
    CHECK(asked.size() >= 3);
    for (const PeerNews &host : hosts) {
        if (std::find(readers.begin(), readers.end(), host.ip) != readers.end())
            CHECK(host.millicores == 500);
    }
}

TEST_CASE("StoreReaders.WithoutAServingHostEachReads")
{
    // At the first start, or when all readers died at once, nobody is left to ask.
    std::vector<PeerNews> hosts = fleet(30);
    for (PeerNews &host : hosts)
        host.state = PeerState::Waiting;
    CHECK(readerFor("10.0.0.1", hosts).empty());
}
