#include <monsoongrade/load/answerchecker.h>

#include <monsoongrade/standins/answertext.h>

#include <doctest/doctest.h>

using namespace monsoongrade;
using load::AnswerChecker;
using load::AnswerVerdict;

namespace {

std::string event(const std::string &prompt, int index)
{
    return R"(data: {"choices":[{"text":")" + standins::answerToken(prompt, index) + "\"}]}\n\n";
}

const std::string Done = "data: [DONE]\n\n";

} // namespace

TEST_CASE("AnswerChecker.TellsWholeAnswersFromOthers")
{
    AnswerChecker whole("p", 2, true);
    whole.add(event("p", 0) + event("p", 1) + Done);
    CHECK(whole.verdict() == AnswerVerdict::Whole);

    AnswerChecker unclosed("p", 2, true);
    unclosed.add(event("p", 0) + event("p", 1));
    CHECK(unclosed.verdict() == AnswerVerdict::CutShort);

    AnswerChecker tooFew("p", 2, true);
    tooFew.add(event("p", 0) + Done);
    CHECK(tooFew.verdict() == AnswerVerdict::CutShort);

    AnswerChecker other("p", 2, true);
    other.add(event("p", 0) + event("q", 1) + Done);
    CHECK(other.verdict() == AnswerVerdict::Mixed);

    AnswerChecker repeated("p", 2, true);
    repeated.add(event("p", 0) + event("p", 0) + event("p", 1) + Done);
    CHECK(repeated.verdict() == AnswerVerdict::Mixed);
}

TEST_CASE("AnswerChecker.KnowsAnExplicitError")
{
    AnswerChecker checker("p", 2, true);
    checker.add(event("p", 0)
                + R"(data: {"error":{"code":3004,"reason":"broke","run_state":"partial"}})"
                  "\n\n");
    CHECK(checker.verdict() == AnswerVerdict::ErrorEvent);
    CHECK(checker.errorCode() == 3004);
    CHECK(checker.errorRunState() == "partial");
}

TEST_CASE("AnswerChecker.HashIsOfTheContentAlone")
{
    AnswerChecker pieces("p", 2, true);
    for (const char c : event("p", 0) + event("p", 1) + Done)
        pieces.add(std::string_view(&c, 1));
    AnswerChecker whole("p", 2, false);
    whole.add(R"({"choices":[{"text":")" + standins::answerToken("p", 0)
              + standins::answerToken("p", 1) + "\"}]}");
    REQUIRE(pieces.verdict() == AnswerVerdict::Whole);
    REQUIRE(whole.verdict() == AnswerVerdict::Whole);
    CHECK(pieces.contentHash() == whole.contentHash());
}
