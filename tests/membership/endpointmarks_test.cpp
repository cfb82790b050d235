#include <monsoongrade/membership/endpointmarks.h>

#include <doctest/doctest.h>

namespace monsoongrade::membership {

using namespace std::chrono_literals;

namespace {

const units::HostName Worker("worker-1");
const units::TimePoint Start{1h};

std::vector<platform::Host> listed(platform::HostState state)
{
    return {{Worker, "127.33.1.1", units::FailureDomain(), platform::HostRole::Endpoint, state}};
}

} // namespace

TEST_CASE("EndpointMarks.NewsFromAnOlderListDontEndALeaving")
{
    // New work would go to an endpoint on its way out: another daemon whose list lags more than
    // this one's tells that the host is live again.
    EndpointMarks marks(60s);
    marks.applyList(listed(platform::HostState::Leaving), Start);
    REQUIRE(marks.leaving().count(Worker) == 1);
    CHECK(marks.merge({Worker, 2, EndpointState::Live}));
    CHECK(marks.leaving().count(Worker) == 1);
    CHECK(marks.all().at(Worker).epoch == 3);
}

TEST_CASE("EndpointMarks.HostThatIsBackGetsWorkAfterTheLagBound")
{
    EndpointMarks marks(60s);
    marks.applyList(listed(platform::HostState::Leaving), Start);
    marks.applyList(listed(platform::HostState::Live), Start + 1s);
    marks.applyList(listed(platform::HostState::Live), Start + 60s);
    CHECK(marks.leaving().count(Worker) == 1);
    marks.applyList(listed(platform::HostState::Live), Start + 61s);
    CHECK(marks.leaving().empty());
}

TEST_CASE("EndpointMarks.RepeatedNewsChangeNothing")
{
    EndpointMarks marks(60s);
    CHECK(marks.merge({Worker, 1, EndpointState::Leaving}));
    CHECK_FALSE(marks.merge({Worker, 1, EndpointState::Leaving}));
    CHECK_FALSE(marks.merge({Worker, 1, EndpointState::Live}));
}

} // namespace monsoongrade::membership
