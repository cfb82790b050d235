#include <rpc/peerfixture.h>
#include <rpc/rpcfixture.h>

#include <monsoongrade.capnp.h>

#include <capnp/ez-rpc.h>
#include <doctest/doctest.h>

namespace monsoongrade::tests {

namespace {

using units::ResultCode;

int codeOfHello(const std::string &address, std::uint16_t port, const std::string &cluster,
                std::uint32_t version)
{
    capnp::EzRpcClient client(address.c_str(), port);
    auto hello = client.getMain<schema::Daemon>().helloRequest();
    hello.setCluster(cluster);
    hello.setVersion(version);
    hello.setDaemon("visitor");
    return hello.send().wait(client.getWaitScope()).getResult().getCode();
}

// A server listens a moment after its constructor returns.
bool isListening(const std::string &address, std::uint16_t port, const std::string &cluster)
{
    try {
        codeOfHello(address, port, cluster, schema::PROTOCOL_VERSION);
        return true;
    } catch (const kj::Exception &) {
        return false;
    }
}

// The answers to a right visitor, to another cluster's and to another version's.
void checkTurnsAway(const std::string &address, std::uint16_t port, const std::string &cluster)
{
    const std::uint32_t version = schema::PROTOCOL_VERSION;
    REQUIRE(eventually([&] { return isListening(address, port, cluster); }));
    CHECK(codeOfHello(address, port, cluster, version) == 0);
    CHECK(codeOfHello(address, port, "other", version)
          == static_cast<int>(ResultCode::ForeignCluster));
    for (const std::uint32_t other : {version - 1, version + 1})
        CHECK(codeOfHello(address, port, cluster, other)
              == static_cast<int>(ResultCode::ProtocolVersionMismatch));
}

} // namespace

// A fleet is upgraded host by host, or a setting names another cluster's host. Daemons that
// understand messages differently must not talk: a router of another version would take what a
// scheduler leaves unanswered for its silence.
TEST_CASE("Hello.TurnsAwayOtherClustersAndVersions")
{
    SUBCASE("scheduler")
    {
        TwoSchedulers cluster;
        checkTurnsAway(cluster.first->member().address, cluster.port, testCluster().value());
    }
    SUBCASE("router")
    {
        const rpc::Daemon daemon("127.34.2.7", "c");
        checkTurnsAway(daemon.settings.address, daemon.settings.port, "c");
    }
}

} // namespace monsoongrade::tests
