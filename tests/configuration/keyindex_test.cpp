#include <monsoongrade/configuration/keyindex.h>

#include <monsoongrade/configuration/configurationparser.h>

#include <doctest/doctest.h>

namespace monsoongrade::configuration {

TEST_CASE("KeyIndex.FindsTheWorkspaceOfAKeyAndNoOther")
{
    KeyIndex index;
    index.add("one", units::WorkspaceName("w1"));
    index.add("two", units::WorkspaceName("w2"));
    REQUIRE(index.find("two") != nullptr);
    CHECK(*index.find("two") == units::WorkspaceName("w2"));
    CHECK(index.find("tw") == nullptr);
    CHECK(index.find("") == nullptr);
}

// An empty key would let in every caller that sends none.
TEST_CASE("KeyIndex.EmptyKeyIsAProblemOfItsFile")
{
    const auto parsed = parseConfiguration({{"a.yaml", "workspaces: [{name: w, keys: ['']}]\n"}});
    REQUIRE(parsed.problems.size() == 1);
    CHECK(parsed.problems[0].code == units::ResultCode::OutOfRange);
}

} // namespace monsoongrade::configuration
