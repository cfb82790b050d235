#include <monsoongrade/ctl/linediff.h>

#include <doctest/doctest.h>

namespace monsoongrade::ctl {

TEST_CASE("LineDiff.SameTextsHaveNoDifference")
{
    CHECK(lineDiff("a\nb\n", "a\nb\n").empty());
}

TEST_CASE("LineDiff.ShowsOnlyTheLinesThatDiffer")
{
    const std::vector<std::string> expected{"-b", "+x", "+d"};
    CHECK(lineDiff("a\nb\nc\n", "a\nx\nc\nd\n") == expected);
}

} // namespace monsoongrade::ctl
