#include <monsoongrade/membership/rendezvous.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <string>

namespace monsoongrade::membership {

namespace {

std::vector<Member> members(int count)
{
    std::vector<Member> result;
    result.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i)
        result.push_back({units::HostName("host-" + std::to_string(i)), {}, {}, false, false});
    return result;
}

} // namespace

TEST_CASE("Rendezvous.OrderDoesNotDependOnTheOrderOfMembers")
{
    auto some = members(6);
    const auto expected = rendezvousOrder("cell", some);
    std::reverse(some.begin(), some.end());
    const auto actual = rendezvousOrder("cell", some);
    for (std::size_t i = 0; i < expected.size(); ++i)
        CHECK(actual[i].host == expected[i].host);
}

TEST_CASE("Rendezvous.HostThatGoesMovesOnlyItsOwnCells")
{
    const auto all = members(6);
    for (int cell = 0; cell < 100; ++cell) {
        const auto before = rendezvousOrder(std::to_string(cell), all);
        auto fewer = all;
        fewer.erase(fewer.begin());
        const auto after = rendezvousOrder(std::to_string(cell), fewer);
        if (before[0].host != all[0].host)
            CHECK(after[0].host == before[0].host);
        else
            CHECK(after[0].host == before[1].host);
    }
}

TEST_CASE("Rendezvous.CellsSpreadOverTheHosts")
{
    std::map<std::string, int> cells;
    for (int cell = 0; cell < 600; ++cell)
        ++cells[rendezvousOrder("pool/" + std::to_string(cell), members(6))[0].host.value()];
    for (const auto &entry : cells)
        CHECK_MESSAGE(entry.second > 60, entry.first, " has ", entry.second, " of 600 cells");
}

} // namespace monsoongrade::membership
