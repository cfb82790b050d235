#include "cuthosts.h"

using namespace monsoongrade;
using namespace monsoongrade::platform;
using standins::LinkFault;
using std::chrono::milliseconds;

namespace {

// Time from the start of a cut in which a host has to find another way.
constexpr auto TimeToNotice = milliseconds(3000);
constexpr auto Interval = milliseconds(50);

// Whether at least two thirds were served.
bool mostServed(const std::vector<int> &statuses)
{
    const auto served = std::count(statuses.begin(), statuses.end(), 200);
    return served * 3 >= std::ptrdiff_t(statuses.size()) * 2;
}

void checkServedAfterCut(const std::string &service, const std::string &path, LinkFault fault)
{
    CutHostsFixture fixture;
    CHECK(mostServed(fixture.callFor(*fixture.cutHost, path, milliseconds(300), Interval)));
    fixture.cut(service, fault);
    fixture.callFor(*fixture.cutHost, path, TimeToNotice, Interval);
    CHECK(mostServed(fixture.callFor(*fixture.cutHost, path, milliseconds(1000), Interval)));
    CHECK(mostServed(fixture.callFor(*fixture.otherHost, path, milliseconds(500), Interval)));
    CHECK(fixture.mostRunsOfARequest() == 1);
}

} // namespace

// Guards against a host that refuses all requests because its own path to the endpoints is silent.
TEST_CASE("CutHosts.PlainRequestsAreServedInASilentCut")
{
    checkServedAfterCut("plain", "/unsafe/a", LinkFault::Silent);
}

// Guards against a host that refuses all requests because its own path to the endpoints is reset.
TEST_CASE("CutHosts.PlainRequestsAreServedInACutWithResets")
{
    checkServedAfterCut("plain", "/unsafe/a", LinkFault::Reset);
}

// Guards against a host that cannot open connections once those that it has are closed.
TEST_CASE("CutHosts.PlainRequestsAreServedWhenNewConnectionsAreRefused")
{
    checkServedAfterCut("plain", "/unsafe/a", LinkFault::Refuse);
}

// Guards against streams that are refused at a host whose own path to the engines is silent.
TEST_CASE("CutHosts.StreamsAreServedInASilentCut")
{
    checkServedAfterCut("model", "/stream/a", LinkFault::Silent);
}

// Guards against streams that are refused at a host whose own path to the engines is reset.
TEST_CASE("CutHosts.StreamsAreServedInACutWithResets")
{
    checkServedAfterCut("model", "/stream/a", LinkFault::Reset);
}
