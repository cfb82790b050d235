#include "rpcfixture.h"

#include <doctest/doctest.h>

using namespace monsoongrade;
using namespace monsoongrade::tests;

// Answers of the class take three seconds, and a caller says that it stays for one. It must be
// refused at once, over the wire as in one process; begun, the answer would be made for nobody.
TEST_CASE("SlotClient.TellsHowLongTheCallerStays")
{
    TwoSchedulers cluster;
    cluster.publish({cluster.first->member()});
    TestRouter router("r", cluster.port, cluster.fleet);
    const Noted seen = router.ask("seen");
    REQUIRE(eventually([&] { return seen->isGranted(); }));
    scheduling::SlotRelease release;
    release.grant = seen->grant()->id;
    release.outcome = scheduling::ReleaseOutcome::Completed;
    release.tokens = units::TokenCount(90);
    release.held = std::chrono::seconds(3);
    router.slots->release(*seen->grant(), release);
    REQUIRE(eventually([&] { return cluster.first->holds(0); }));

    const Noted leaving = std::make_shared<NotedDecision>();
    scheduling::SlotAsk ask = router.askOf("leaving");
    ask.patience = std::chrono::seconds(1);
    router.slots->ask(ask, leaving);
    REQUIRE(eventually([&] { return leaving->decisions() == 1; }));
    CHECK_FALSE(leaving->isGranted());
}
