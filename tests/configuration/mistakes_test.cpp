#include <monsoongrade/configuration/configurationparser.h>
#include <monsoongrade/configuration/daemonsettings.h>
#include <monsoongrade/configuration/folder.h>
#include <monsoongrade/configuration/textcheck.h>

#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>

// Mistakes that went in unseen when every file of the examples was spoiled in turn.

namespace monsoongrade::configuration {

namespace {

using units::ResultCode;

const char *const Head = "classes: [{name: c}]\n";

// The one problem that the text has, or a failed check.
Problem onlyProblem(const std::string &text)
{
    const auto parsed = parseConfiguration({{"a.yaml", text}});
    REQUIRE(parsed.problems.size() == 1);
    return parsed.problems.front();
}

Problem settingsProblem(const std::string &line)
{
    Problems problems;
    parseDaemonSettings({"s.yaml", "cluster: c\nhost: h\nfailure-domain: d\n" + line}, problems);
    REQUIRE(problems.size() == 1);
    return problems.front();
}

} // namespace

// The name was stored as another one than was checked, and its callers were turned away.
TEST_CASE("Mistakes.BytesThatAreNoTextAreRefusedWithTheirLine")
{
    for (const std::string bad :
         {"\xff", "\xc0\xaf", "\xe2\x82", "\xed\xa0\x80", "\xf4\x90\x80\x80", "\x01", "\x7f"}) {
        const Problem problem = onlyProblem("# one\nclasses:\n  - name: a" + bad + "\n");
        CHECK(problem.code == ResultCode::NotYaml);
        CHECK(problem.line == 3);
    }
    CHECK(onlyProblem(std::string("classes: []\n\0", 13)).line == 2);
    CHECK(onlyProblem("\xff\xfe" + std::string("a\0:\0", 4)).line == 1);
    CHECK_FALSE(findUnreadableText({"a", "\xc3\xa9 \xe2\x82\xac \xf0\x9f\x98\x80\t\r\n"}));
}

// A club's emptied file took the club out of service when it was applied.
TEST_CASE("Mistakes.FileThatGivesNothingIsRefused")
{
    for (const char *text : {"", "# only a comment\n", "---\n", "~\n"}) {
        const Problem problem = onlyProblem(text);
        CHECK(problem.code == ResultCode::MissingSetting);
        CHECK(problem.file == "a.yaml");
    }
    CHECK(parseConfiguration({{"a.yaml", "drained: []\n"}}).isValid());
}

TEST_CASE("Mistakes.FileThatEndsWithinALineIsShown")
{
    const auto problem = findCutOffEnd({"a.yaml", "classes:\n  - name: cl"});
    REQUIRE(problem);
    CHECK(problem->code == ResultCode::NotYaml);
    CHECK(problem->line == 2);
    CHECK_FALSE(findCutOffEnd({"a.yaml", "classes: []\n"}));
}

TEST_CASE("Mistakes.TargetOfNoTimeIsOutOfRange")
{
    const Problem target = onlyProblem("classes:\n  - name: c\n    target: {first-token: 0s}\n");
    CHECK(target.code == ResultCode::OutOfRange);
    CHECK(target.line == 3);
    CHECK(target.key == "first-token");
    CHECK(settingsProblem("address: 127.0.0.1\nplatform: http://a:1\nread-timeout: 0s\n").code
          == ResultCode::OutOfRange);
}

TEST_CASE("Mistakes.AddressMustBeOne")
{
    for (const char *address : {"-1", "a b", "http://127.0.0.1", "127.0.0.1:80"}) {
        const Problem problem
            = onlyProblem("pools:\n  - name: p\n    endpoints:\n      - {name: e, address: \""
                          + std::string(address) + "\"}\n");
        CHECK(problem.code == ResultCode::OutOfRange);
        CHECK(problem.line == 4);
        CHECK(problem.key == "address");
    }
    CHECK(settingsProblem("address: localhost\nplatform: http://a:1\n").key == "address");
    CHECK(settingsProblem("address: 127.0.0.1\nplatform: 127.0.0.1:9000\n").key == "platform");
}

TEST_CASE("Mistakes.EmptyOrHalfConditionIsRefused")
{
    const Problem empty = onlyProblem(Head + std::string("rules:\n  - match: {path: \"\"}\n"));
    CHECK(empty.code == ResultCode::OutOfRange);
    CHECK(empty.line == 3);
    CHECK(onlyProblem(Head + std::string("rules:\n  - class: \"\"\n")).key == "class");
    const Problem half = onlyProblem(Head + std::string("rules:\n  - match: {header: h}\n"));
    CHECK(half.code == ResultCode::MissingSetting);
    CHECK(half.key == "value");
    CHECK(onlyProblem(Head + std::string("rules:\n  - match: {value: h}\n")).key == "header");
}

TEST_CASE("Mistakes.UnreadableFileSaysWhy")
{
    const auto folder = std::filesystem::temp_directory_path() / "monsoongrade-mistakes-test";
    std::filesystem::create_directories(folder / "sub.yaml");
    std::ofstream(folder / "empty.yaml").flush();
    const auto isFolder = units::capture([&] { return readFile((folder / "sub.yaml").string()); });
    CHECK(isFolder.error.code == ResultCode::FileUnreadable);
    CHECK(isFolder.error.message.find("is a folder") != std::string::npos);
    const auto missing = units::capture([&] { return readFile((folder / "none").string()); });
    CHECK(missing.error.code == ResultCode::FileUnreadable);
    CHECK(missing.error.message.find("No such file") != std::string::npos);
    const auto empty = units::capture([&] { return readFile((folder / "empty.yaml").string()); });
    CHECK(empty.value);
    std::filesystem::remove_all(folder);
}

} // namespace monsoongrade::configuration
