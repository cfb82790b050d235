#include <monsoongrade/gateway/directory.h>
#include <monsoongrade/gateway/eventrelay.h>

#include <doctest/doctest.h>

using namespace monsoongrade;
using gateway::EventRelay;

namespace {

std::string event(int number)
{
    return "id: " + std::to_string(number) + "\ndata: d\n\n";
}

routing::PeerNews peer(const std::string &ip, routing::PeerState state)
{
    routing::PeerNews news;
    news.ip = ip;
    news.state = state;
    return news;
}

} // namespace

TEST_CASE("EventRelay.PassesWholeEventsOnly")
{
    EventRelay relay;
    CHECK(relay.take("id: 1\nda").empty());
    CHECK(relay.take("ta: d\n\nid: 2").substr(0, 6) == "id: 1\n");
    CHECK(relay.lastId() == "1");
    CHECK(relay.hasRest());
}

TEST_CASE("EventRelay.ResumeLeavesOutWhatTheClientHas")
{
    EventRelay relay;
    relay.take(event(1) + event(2) + "id: 3\nda");
    relay.resume();
    CHECK(relay.take(event(2) + event(3)) == event(3));
    CHECK_FALSE(relay.hasGap());
}

TEST_CASE("EventRelay.ResumeWithAMissingEventIsAGap")
{
    EventRelay relay;
    relay.take(event(1) + event(2));
    relay.resume();
    relay.take(event(4));
    CHECK(relay.hasGap());
}

TEST_CASE("Directory.NamesServingHostsAndNeverLeavingOnes")
{
    using routing::PeerState;
    const auto hosts = [](PeerState own, PeerState first, PeerState second) {
        return gateway::hostsForCallers("own", own, {peer("p1", first), peer("p2", second)}, 64);
    };
    using Hosts = std::vector<std::string>;
    CHECK(hosts(PeerState::Serving, PeerState::Serving, PeerState::Leaving) == Hosts{"own", "p1"});
    CHECK(hosts(PeerState::Leaving, PeerState::Serving, PeerState::Waiting) == Hosts{"p1"});
    CHECK(hosts(PeerState::Waiting, PeerState::Waiting, PeerState::Leaving) == Hosts{"own", "p1"});
    CHECK(hosts(PeerState::Leaving, PeerState::Leaving, PeerState::Leaving) == Hosts{"own"});
}
