#include <monsoongrade/units/result.h>

#include <doctest/doctest.h>

namespace monsoongrade::units {

namespace {

Result<int> failing()
{
    return fail(ResultCode::QueueFull, "full");
}

} // namespace

TEST_CASE("Result.CaptureKeepsTheErrorAsAValue")
{
    const Outcome<int> outcome = capture(failing);
    CHECK_FALSE(outcome.value.has_value());
    CHECK(outcome.error.code == ResultCode::QueueFull);
    CHECK(outcome.error.message == "full");
}

// An error that was captured and is passed on used to arrive as "an error of no known kind",
// since LEAF's own handler overwrote it on the way out.
TEST_CASE("Result.CapturedErrorCanBePassedOn")
{
    const auto passOn = []() -> Result<int> {
        const Outcome<int> inner = capture(failing);
        return fail(inner.error.code, inner.error.message);
    };
    const ResultCode seen = orElse(
        [&]() -> Result<ResultCode> {
            BOOST_LEAF_CHECK(passOn());
            return ResultCode::Ok;
        },
        [](const Error &error) { return error.code; });
    CHECK(seen == ResultCode::QueueFull);
}

TEST_CASE("Error.DescriptionStartsWithTheNumber")
{
    CHECK(describe(Error{ResultCode::QueueFull, "come back"}) == "2001 queue-full: come back");
}

} // namespace monsoongrade::units
