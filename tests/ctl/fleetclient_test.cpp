#include <monsoongrade/ctl/fleetclient.h>

#include <doctest/doctest.h>

#include <mutex>

namespace monsoongrade::ctl {

namespace {

constexpr std::size_t HostCount = 195;

class ManyHosts : public platform::HostList
{
public:
    units::Result<std::vector<platform::Host>> hosts() override
    {
        std::vector<platform::Host> all(HostCount);
        for (std::size_t i = 0; i < all.size(); ++i)
            all[i].name = units::HostName("entry-" + std::to_string(i));
        return all;
    }
};

// Answers nobody before everybody has been asked, as a far region would; the first never.
class AllTogether : public endpoints::EndpointClient
{
public:
    endpoints::CallId start(endpoints::EndpointRequest,
                            std::shared_ptr<endpoints::EndpointListener> listener) override
    {
        listeners_.push_back(std::move(listener));
        if (listeners_.size() < HostCount)
            return listeners_.size();
        for (std::size_t i = 1; i < listeners_.size(); ++i) {
            listeners_[i]->answerHead(200, {});
            listeners_[i]->answerBody("page");
            listeners_[i]->answerEnd({});
        }
        return listeners_.size();
    }
    void resume(endpoints::CallId) override { }
    void cancel(endpoints::CallId call) override { cancelled.push_back(call); }

    std::vector<endpoints::CallId> cancelled;

private:
    std::vector<std::shared_ptr<endpoints::EndpointListener>> listeners_;
};

} // namespace

// Asked one after the other, 195 hosts across regions took 13 s, and each dead one 2 s more.
TEST_CASE("FleetClient.AsksAllHostsAtOnceAndGivesUpOnTheSilentOne")
{
    const Options options;
    ManyHosts hosts;
    AllTogether client;
    FleetClient fleet(options, client, hosts);
    const auto pages = units::capture([&] { return fleet.routerPages("/page"); });
    REQUIRE(pages.value);
    REQUIRE(pages.value->size() == HostCount);
    CHECK(pages.value->front().fault.find("3005 endpoint-silent") == 0);
    CHECK(client.cancelled == std::vector<endpoints::CallId>{1});
    for (std::size_t i = 1; i < HostCount; ++i)
        CHECK(pages.value->at(i).body == "page");
}

} // namespace monsoongrade::ctl
