#include <monsoongrade/configuration/configurationparser.h>
#include <monsoongrade/configuration/daemonsettings.h>
#include <monsoongrade/configuration/manifest.h>

#include <mutation.h>

#include <doctest/doctest.h>
#include <rapidcheck.h>

// Whoever writes a file or an object may write anything. A daemon that throws on it would fall
// over at every start until somebody mends the file; it must say what is wrong instead.

namespace monsoongrade::configuration {

namespace {

const char *const Valid = R"(
scheduling: {queue-limit: 10, guaranteed-share: 0.1}
classes:
  - {name: c, tier: 1, weight: 2, target: {first-token: 1s, whole-answer: 2s}, max-wait: 3s,
     late: drop, on-disconnect: finish}
workspaces:
  - {name: w, weight: 2, keys: [k], default-class: c, open-limit: 5}
pools:
  - name: p
    kind: service
    models: [m]
    endpoints:
      - {name: e, host: h, address: 127.0.0.1, port: 80, slots: 3}
rules:
  - match: {path: /x, method: GET, model: m, workspace: w, header: h, value: v}
    class: c
    pool: p
    run: at-most-once
drained: [e]
)";

const char *const ValidSettings = "cluster: c\nhost: h\naddress: 127.0.0.1\nfailure-domain: d\n"
                                  "platform: http://127.0.0.1:1\nthreads: 2\nslots: scheduler\n";

const char *const ValidManifest = R"({"generation":3,"change":"a","files":{"a.yaml":"00"}})";

} // namespace

TEST_CASE("ConfigurationParser.AcceptsTheTextThatTheFuzzStartsFrom")
{
    CHECK(parseConfiguration({{"a.yaml", Valid}}).isValid());
}

TEST_CASE("ConfigurationParser.NamesTheFileOfEveryProblemOfAnyText")
{
    CHECK(rc::check("any text is valid or has problems with code and file", [] {
        const auto parsed = parseConfiguration({{"a.yaml", tests::mutated(Valid)}});
        for (const Problem &problem : parsed.problems) {
            RC_ASSERT(problem.file == "a.yaml");
            RC_ASSERT(static_cast<int>(problem.code) / 1000 == 4);
        }
    }));
}

TEST_CASE("ConfigurationParser.TurnsAwayDeepNesting")
{
    const std::string deep(100000, '[');
    CHECK_FALSE(parseConfiguration({{"a.yaml", deep}}).isValid());
    CHECK_FALSE(parseConfiguration({{"a.yaml", "classes: " + deep}}).isValid());
}

TEST_CASE("DaemonSettings.NamesTheFileOfEveryProblemOfAnyText")
{
    CHECK(rc::check("any settings are valid or have problems", [] {
        Problems problems;
        parseDaemonSettings({"s.yaml", tests::mutated(ValidSettings)}, problems);
        for (const Problem &problem : problems)
            RC_ASSERT(problem.file == "s.yaml");
    }));
}

TEST_CASE("Manifest.AnyTextIsReadOrRefusedWithACode")
{
    CHECK(rc::check("any manifest is read or refused", [] {
        const std::string text = tests::mutated(ValidManifest);
        const auto outcome = units::capture([&] { return decodeManifest(text); });
        RC_ASSERT(outcome.value.has_value()
                  || outcome.error.code == units::ResultCode::PlatformAnswerMalformed);
    }));
}

} // namespace monsoongrade::configuration
