#include <monsoongrade/load/loadscript.h>

#include <mutation.h>

#include <monsoongrade/standins/standinsettings.h>

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace monsoongrade::load {

namespace {

const char *const Script = "seed: 1\nentry: [http://127.0.0.1:8080]\ngive-up-after: 5s\n"
                           "classes:\n  - {name: a, keys: [k], model: m, headers: {x: y}, count: 3,"
                           " pattern: poisson, target: {first-token: 2s}}\n";
const char *const Engine = "address: 127.0.0.1\nport: 8000\nslots: 3\ntokens-per-second: 20.5\n"
                           "can-resume: true\njournal: a\n";

bool haveCodeAndFile(const configuration::Problems &problems)
{
    return std::all_of(problems.begin(), problems.end(), [](const auto &problem) {
        return problem.file == "f.yaml" && static_cast<int>(problem.code) / 1000 == 4;
    });
}

} // namespace

TEST_CASE("LoadScript.AnyTextIsReadOrHasNumberedProblems")
{
    CHECK(rc::check("any script", [] {
        configuration::Problems problems;
        parseLoadScript({"f.yaml", tests::mutated(Script)}, problems);
        RC_ASSERT(haveCodeAndFile(problems));
    }));
}

TEST_CASE("StandInSettings.AnyTextIsReadOrHasNumberedProblems")
{
    CHECK(rc::check("any settings of an engine", [] {
        standins::FakeEngineProgram settings;
        configuration::Problems problems;
        standins::parseFakeEngineSettings({"f.yaml", tests::mutated(Engine)}, settings, problems);
        RC_ASSERT(haveCodeAndFile(problems));
    }));
}

} // namespace monsoongrade::load
