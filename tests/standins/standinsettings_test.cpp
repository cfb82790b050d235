#include <monsoongrade/standins/standinsettings.h>

#include <doctest/doctest.h>

namespace monsoongrade::standins {

namespace {

using units::ResultCode;

configuration::Problems engineProblems(const std::string &text)
{
    FakeEngineProgram settings;
    configuration::Problems problems;
    parseFakeEngineSettings({"engine.yaml", text}, settings, problems);
    return problems;
}

} // namespace

TEST_CASE("StandInSettings.EngineTakesEveryKey")
{
    FakeEngineProgram settings;
    configuration::Problems problems;
    parseFakeEngineSettings({"engine.yaml",
                             "address: 127.0.0.2\nport: 8000\nthreads: 2\nslots: 3\n"
                             "tokens-per-second: 20.5\nbatch-cost: 0.5\nprefill-micros: 7\n"
                             "can-resume: true\njournal: runs.journal\nexit-on-crash: true\n"},
                            settings, problems);
    CHECK(problems.empty());
    CHECK(settings.listener.address == "127.0.0.2");
    CHECK(settings.listener.port == 8000);
    CHECK(settings.listener.threads == 2);
    CHECK(settings.engine.slots == 3);
    CHECK(settings.engine.tokensPerSecond == doctest::Approx(20.5));
    CHECK(settings.engine.batchCost == doctest::Approx(0.5));
    CHECK(settings.engine.prefillMicrosPerByte == doctest::Approx(7));
    CHECK(settings.engine.canResume);
    CHECK(settings.engine.journalPath == "runs.journal");
    CHECK(settings.exitOnCrash);
}

TEST_CASE("StandInSettings.EachMistakeHasItsCodeAndLine")
{
    const auto problems = engineProblems("port: 99999\nslots: many\ncolour: red\n");
    REQUIRE(problems.size() == 3);
    CHECK(problems[0].code == ResultCode::OutOfRange);
    CHECK(problems[0].line == 1);
    CHECK(problems[1].code == ResultCode::WrongType);
    CHECK(problems[1].line == 2);
    CHECK(problems[2].code == ResultCode::UnknownSetting);
    CHECK(problems[2].line == 3);
    CHECK(problems[2].message.find("tokens-per-second") != std::string::npos);
}

TEST_CASE("StandInSettings.PlatformHasNoKeysOfAnEngine")
{
    http::HttpServerSettings settings;
    configuration::Problems problems;
    parseFakePlatformSettings({"platform.yaml", "port: 9000\nslots: 3\n"}, settings, problems);
    CHECK(settings.port == 9000);
    REQUIRE(problems.size() == 1);
    CHECK(problems[0].code == ResultCode::UnknownSetting);
}

} // namespace monsoongrade::standins
