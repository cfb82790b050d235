#include <requests/internal/tokensused.h>

#include <doctest/doctest.h>

namespace monsoongrade::requests::internal {

// A whole answer has no events to count. Counted as none, it would cost its workspace nothing of
// its fair share, and long answers would be taken for short ones.
TEST_CASE("TokensUsed.WholeAnswerSaysItsTokens")
{
    CHECK(tokensOfWholeAnswer(R"({"usage":{"completion_tokens":42}})") == 42);
    CHECK(tokensOfWholeAnswer(R"({"usage":{"completion_tokens":"x"}})") == 0);
    CHECK(tokensOfWholeAnswer(R"({"usage":[]})") == 0);
    CHECK(tokensOfWholeAnswer("not json") == 0);
}

} // namespace monsoongrade::requests::internal
