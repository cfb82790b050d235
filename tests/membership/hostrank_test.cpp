#include <monsoongrade/membership/hostrank.h>

#include <doctest/doctest.h>

#include <set>

namespace monsoongrade::membership {

namespace {

FleetView viewOf(int hosts, int suspected)
{
    FleetView view;
    for (int i = 0; i < hosts; ++i) {
        Member member;
        member.host = units::HostName("host-" + std::to_string(i));
        member.suspected = i < suspected;
        view.entryHosts.push_back(member);
    }
    return view;
}

std::set<std::size_t> ranks(const FleetView &view, std::size_t most)
{
    std::set<std::size_t> found;
    for (const Member &member : view.entryHosts) {
        if (const auto rank = hostRank("task", member.host, view, most))
            found.insert(rank->rank);
    }
    return found;
}

} // namespace

TEST_CASE("HostRank.HostsThatAgreeOnTheFleetShareTheTask")
{
    CHECK(ranks(viewOf(195, 20), 8) == std::set<std::size_t>{0, 1, 2, 3, 4, 5, 6, 7});
    CHECK(ranks(viewOf(3, 0), 8) == std::set<std::size_t>{0, 1, 2});
}

// A host loses the network and holds all others dead. It and every host like it would otherwise
// each do the whole task, and the store would get as many writes as there are hosts.
TEST_CASE("HostRank.HostThatIsCutOffDoesNothing")
{
    CHECK(ranks(viewOf(6, 5), 8).empty());
    CHECK(ranks(viewOf(6, 3), 8).empty());
    CHECK_FALSE(ranks(viewOf(6, 2), 8).empty());
}

} // namespace monsoongrade::membership
