#include <monsoongrade/scheduling/ownshare.h>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>

using namespace monsoongrade;

// The engines would be given more than their slots, or some of their slots would lie idle.
// Routers that can't reach a scheduler each use their share, without talking to each other.
TEST_CASE("ownShare.SharesOfAllRoutersAddUpToTheSlots")
{
    CHECK(rc::check([] {
        const auto routers = *rc::gen::inRange<std::size_t>(1, 12);
        const auto slots = *rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 20));
        std::vector<scheduling::EndpointPolicy> endpoints;
        int total = 0;
        for (const int count : slots) {
            endpoints.push_back({units::EndpointId("e" + std::to_string(endpoints.size())), count});
            total += count;
        }
        std::map<units::EndpointId, int> given;
        int least = total;
        int most = 0;
        for (std::size_t rank = 0; rank < routers; ++rank) {
            int own = 0;
            for (const auto &policy : scheduling::ownShare(endpoints, rank, routers)) {
                given[policy.id] += policy.slots;
                own += policy.slots;
            }
            least = std::min(least, own);
            most = std::max(most, own);
        }
        RC_ASSERT(most - least <= 1);
        if (total < static_cast<int>(routers))
            return;
        for (const auto &policy : endpoints)
            RC_ASSERT(given[policy.id] == policy.slots);
    }));
}

TEST_CASE("ownShare.GivesOneSlotWhereTheShareWouldBeNothing")
{
    const std::vector<scheduling::EndpointPolicy> endpoints{{units::EndpointId("e"), 2}};
    for (std::size_t rank = 0; rank < 6; ++rank) {
        const auto share = scheduling::ownShare(endpoints, rank, 6);
        REQUIRE(share.size() == 1);
        CHECK(share.front().slots == 1);
    }
}
