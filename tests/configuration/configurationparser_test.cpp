#include <monsoongrade/configuration/configurationparser.h>

#include <doctest/doctest.h>

namespace monsoongrade::configuration {

using units::ResultCode;

TEST_CASE("ConfigurationParser.MergesFilesInTheOrderOfNames")
{
    const auto parsed
        = parseConfiguration({{"20.yaml", "rules:\n  - {class: second}\n"},
                              {"10.yaml", "rules:\n  - {class: first}\n"},
                              {"05.yaml", "classes:\n  - name: first\n  - name: second\n"}});
    REQUIRE(parsed.isValid());
    REQUIRE(parsed.configuration.rules.size() == 2);
    CHECK(parsed.configuration.rules[0].className == units::ClassName("first"));
}

TEST_CASE("ConfigurationParser.UnknownKeyIsShownWithItsPlace")
{
    const auto parsed = parseConfiguration({{"a.yaml", "classes:\n  - name: x\n    teir: 1\n"}});
    REQUIRE(parsed.problems.size() == 1);
    CHECK(parsed.problems[0].code == ResultCode::UnknownSetting);
    CHECK(parsed.problems[0].file == "a.yaml");
    CHECK(parsed.problems[0].line == 3);
    CHECK(parsed.problems[0].key == "teir");
}

TEST_CASE("ConfigurationParser.NameGivenInTwoFilesIsAProblem")
{
    const auto parsed = parseConfiguration(
        {{"a.yaml", "classes:\n  - name: x\n"}, {"b.yaml", "classes:\n  - name: x\n"}});
    REQUIRE(parsed.problems.size() == 1);
    CHECK(parsed.problems[0].code == ResultCode::DuplicateName);
    CHECK(parsed.problems[0].file == "b.yaml");
}

TEST_CASE("ConfigurationParser.DanglingReferenceIsAProblem")
{
    const auto parsed = parseConfiguration({{"a.yaml", "rules:\n  - class: nowhere\n"}});
    REQUIRE(parsed.problems.size() == 1);
    CHECK(parsed.problems[0].code == ResultCode::DanglingReference);
}

TEST_CASE("ConfigurationParser.BrokenYamlIsAProblemWithALine")
{
    const auto parsed = parseConfiguration({{"a.yaml", "classes:\n  - {name: x\n"}});
    REQUIRE(parsed.problems.size() == 1);
    CHECK(parsed.problems[0].code == ResultCode::NotYaml);
    CHECK(parsed.problems[0].line > 0);
}

} // namespace monsoongrade::configuration
