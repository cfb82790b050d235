#include <monsoongrade/membership/memberrecord.h>
#include <monsoongrade/membership/rendezvous.h>

#include <doctest/doctest.h>

namespace monsoongrade::membership {

// Which scheduler is asked and who watches whom is found by each daemon for itself; daemons of two
// versions must find the same.
TEST_CASE("rendezvousOrder.NeverChanges")
{
    std::vector<Member> members;
    for (const char *host : {"entry-1", "entry-2", "entry-3", "entry-4", "entry-5", "entry-6"}) {
        Member member;
        member.host = units::HostName(host);
        members.push_back(member);
    }
    std::string order;
    for (const Member &member : rendezvousOrder("model-pool", members))
        order += member.host.value().substr(6);
    CHECK(order == "462315");
}

TEST_CASE("stableHash.NeverChanges")
{
    CHECK(stableHash({units::HostName("entry-1"), DaemonRole::Router}, "ring")
          == 9165530321707790232U);
    CHECK(stableHash({units::HostName("entry-1"), DaemonRole::Scheduler}, "ring")
          == 18321396404277393667U);
}

} // namespace monsoongrade::membership
