#include <monsoongrade/daemon/liveendpoints.h>

#include <doctest/doctest.h>

namespace monsoongrade::daemon {

namespace {

const units::PoolName Pool("pool");
const units::EndpointId Endpoint("e1");

std::shared_ptr<configuration::Configuration> withEndpoint(std::uint64_t generation)
{
    auto made = std::make_shared<configuration::Configuration>();
    made->generation = units::Generation(generation);
    configuration::EndpointConfig endpoint;
    endpoint.id = Endpoint;
    endpoint.host = units::HostName("h1");
    made->pools[Pool].endpoints.push_back(endpoint);
    return made;
}

} // namespace

TEST_CASE("LiveEndpoints.FollowTheConfigurationInForce")
{
    configuration::ConfigurationHolder configuration;
    membership::FleetHolder fleet;
    const LiveEndpoints endpoints(configuration, fleet);
    CHECK_FALSE(endpoints.find(Pool, Endpoint));
    configuration.offer(withEndpoint(1));
    CHECK(endpoints.find(Pool, Endpoint));
    CHECK_FALSE(endpoints.find(units::PoolName("other"), Endpoint));
    auto removed = withEndpoint(2);
    removed->pools[Pool].endpoints.clear();
    configuration.offer(removed);
    CHECK_FALSE(endpoints.find(Pool, Endpoint));
}

TEST_CASE("LiveEndpoints.LeaveOutWhatIsDrainedOrLeaving")
{
    configuration::ConfigurationHolder configuration;
    membership::FleetHolder fleet;
    const LiveEndpoints endpoints(configuration, fleet);
    auto offered = withEndpoint(1);

    SUBCASE("endpoint drained by an operator")
    {
        offered->drained.insert("e1");
    }
    SUBCASE("its host drained")
    {
        offered->drained.insert("h1");
    }
    SUBCASE("its host leaving by the platform's list or a peer's news")
    {
        membership::FleetView view;
        view.leavingEndpointHosts.insert(units::HostName("h1"));
        fleet.publish(view);
    }
    configuration.offer(offered);
    CHECK_FALSE(endpoints.find(Pool, Endpoint));
}

} // namespace monsoongrade::daemon
