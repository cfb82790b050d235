#include <requests/flowfixture.h>

#include <doctest/doctest.h>

namespace monsoongrade::requests {

TEST_CASE("OpenRequests.WorkspaceKeepsToItsLimitUntilOneEnds")
{
    FlowFixture fixture;
    fixture.configuration->workspaces[units::WorkspaceName("w")].openLimit = 2;
    const ClassifiedRequest request = fixture.request(configuration::RunRule::Idempotent);
    const auto tryOpen = [&] {
        return units::capture([&] { return fixture.open.open(request); });
    };
    const auto first = tryOpen();
    auto second = tryOpen();
    CHECK(tryOpen().error.code == units::ResultCode::WorkspaceLimitReached);
    second.value.reset();
    CHECK(tryOpen().value.has_value());
    CHECK(fixture.open.total() == 1);
}

} // namespace monsoongrade::requests
