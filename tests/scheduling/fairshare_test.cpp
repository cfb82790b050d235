#include <monsoongrade/scheduling/fairshare.h>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>
#include <vector>

namespace monsoongrade::scheduling {

// One class had the endpoints to itself all night, each request served on arrival. When a
// second one comes in the morning the two must share from then on; were the night held against
// the first, it would wait until the second had caught up.
TEST_CASE("FairShare.ServiceWithoutCompetitionIsNotHeldAgainstAKey")
{
    FairShare<int> share;
    for (int i = 0; i < 1000; ++i) {
        share.activate(1);
        share.deactivate(1);
        share.serve(1, 100, 1);
    }
    share.activate(1);
    share.activate(2);
    std::map<int, int> served;
    for (int i = 0; i < 100; ++i) {
        const int first = share.first();
        ++served[first];
        share.serve(first, 100, 1);
    }
    CHECK(served[1] >= 49);
    CHECK(served[1] <= 51);
}

TEST_CASE("FairShare.ServesBackloggedKeysByWeight")
{
    FairShare<int> share;
    share.activate(1);
    share.activate(3);
    std::map<int, int> served;
    for (int i = 0; i < 400; ++i) {
        const int first = share.first();
        ++served[first];
        share.serve(first, 10, first);
    }
    CHECK(served[3] >= 299);
    CHECK(served[3] <= 301);
}

// Thousands of workspaces that each came once must not stay in memory for ever.
TEST_CASE("FairShare.ForgetsIdleKeysOnceTheyAreBehind")
{
    CHECK(rc::check("only keys ahead of the others are kept",
                    [](const std::vector<std::uint8_t> &keys) {
                        FairShare<int> share;
                        for (const int key : keys) {
                            share.activate(key);
                            const int first = share.first();
                            share.deactivate(first);
                            share.serve(first, 1 + key % 7, 1);
                            share.correct(first, -(key % 2), 1);
                        }
                        share.activate(1000);
                        for (int i = 0; i < 10000; ++i)
                            share.serve(1000, 10, 1);
                        RC_ASSERT(share.accounts() == 1u);
                    }));
}

} // namespace monsoongrade::scheduling
