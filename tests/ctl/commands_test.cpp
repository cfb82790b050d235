#include "commandfixture.h"

#include <monsoongrade/ctl/fleetclient.h>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

namespace monsoongrade::ctl {

namespace {

const char *const Good = "classes:\n  - name: c\n";

bool holds(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_CASE_FIXTURE(CommandFixture, "Commands.MistakeChangesNothingAndEndsWithTwo")
{
    CHECK(apply(write("a.yaml", Good)).code == ExitOk);
    const std::vector<std::pair<std::string, std::string>> mistakes{
        {"classes:\n  - name: c\n    tier: low\n", "a.yaml:3: tier: 4002"},
        {"classes:\n  - name: c\n    colour: 1\n", "a.yaml:3: colour: 4001"},
        {"classes:\n  - name: c\n  - name: c\n", "a.yaml:3: name: 4005"},
        {"rules:\n  - class: none\n", "a.yaml:2: class: 4006"},
        {"classes:\n  - name: c\n    tier: -1\n", "a.yaml:3: tier: 4003"},
        {"classes:\n\t- name: c\n", "a.yaml:2: 4007"},
        {"classes:\n  - name: \xff\n", "a.yaml:2: 4007"},
        {"", "4004"},
        {"classes:\n  - name: c", "a.yaml:2: 4007"},
    };
    for (const auto &mistake : mistakes) {
        const std::string &expected = mistake.second;
        const Outcome outcome = apply(write("a.yaml", mistake.first));
        CHECK(outcome.code == ExitBadInput);
        CHECK_MESSAGE(holds(outcome.err, expected), expected, " is not in ", outcome.err);
        CHECK(holds(outcome.err, "nothing was changed"));
    }
    // What was accepted is in force as before.
    const Outcome again = apply(write("a.yaml", Good));
    CHECK(holds(again.out, "no difference"));
    CHECK(holds(again.out, "generation 1 was accepted before"));
}

TEST_CASE_FIXTURE(CommandFixture, "Commands.ApplyNamesWhoIsBehindAndAppliedAgainWaits")
{
    serve(1, DaemonKind::Router, R"({"generation":1})");
    serve(1, DaemonKind::Scheduler, R"({"generation":1})");
    serve(2, DaemonKind::Router, R"({"generation":0})");
    const std::string file = write("a.yaml", Good);
    const Outcome behind = apply(file, 1);
    CHECK(behind.code == ExitBehind);
    CHECK(holds(behind.out, "accepted as generation 1"));
    CHECK(holds(behind.out, "2 of 4 daemons have it"));
    CHECK(holds(behind.err, "behind: router entry-2: has generation 0"));
    CHECK(holds(behind.err, "behind: scheduler entry-2: 3001 endpoint-unreachable"));
    options.output = OutputFormat::Json;
    const Outcome again = apply(file, 1);
    CHECK(again.code == ExitBehind);
    const auto out = nlohmann::json::parse(again.out);
    CHECK(out["generation"] == 1);
    CHECK(out["in_force"].size() == 2);
    CHECK(out["behind"].count("router entry-2") == 1);
}

// Whoever owns one file checks that one; alone its references always dangle.
TEST_CASE_FIXTURE(CommandFixture, "Commands.CheckLooksAtWhatIsInForceWhereAPlatformIsNamed")
{
    CHECK(apply(write("a.yaml", Good)).code == ExitOk);
    const std::string own = write("b.yaml", "workspaces:\n  - {name: w, default-class: c}\n");
    CHECK(outcomeOf([&] { return checkCommand(own, options); }).code == ExitOk);
    const std::string wrong = write("b.yaml", "workspaces:\n  - {name: w, default-class: d}\n");
    CHECK(outcomeOf([&] { return checkCommand(wrong, options); }).code == ExitBadInput);
    CHECK(outcomeOf([&] { return checkCommand(own, Options()); }).code == ExitBadInput);
}

// The platform goes down right after the change was accepted; "nothing was changed" would be false.
TEST_CASE_FIXTURE(CommandFixture, "Commands.OutageWhileApplyWaitsDoesNotDenyTheChange")
{
    serve(1, DaemonKind::Router, R"({"generation":0})", {}, [this] { setOutage(true); });
    const std::string file = write("a.yaml", Good);
    const Outcome outcome = apply(file, 30);
    CHECK(outcome.code == ExitBehind);
    CHECK(holds(outcome.out, "accepted as generation 1"));
    CHECK(holds(outcome.err, "accepted, but can't tell where it is in force: 5001"));
    CHECK_FALSE(holds(outcome.err, "nothing was changed"));
    const Outcome during = apply(file, 30);
    CHECK(during.code == ExitFailed);
    CHECK(holds(during.err, "nothing was changed"));
}

// In an outage the host list can't be read, and operators want to look just then.
TEST_CASE_FIXTURE(CommandFixture, "Commands.StatusAsksTheGivenHostsWithoutThePlatform")
{
    serve(1, DaemonKind::Router, R"({"generation":3,"hosts":[]})");
    setOutage(true);
    CHECK(holds(outcomeOf([&] { return statusCommand(options); }).err, "--hosts"));
    options.hosts = {address(1)};
    options.output = OutputFormat::Json;
    const Outcome outcome = outcomeOf([&] { return statusCommand(options); });
    const auto out = nlohmann::json::parse(outcome.out);
    REQUIRE(out["daemons"].size() == 2);
    CHECK(out["daemons"][0]["status"]["generation"] == 3);
}

TEST_CASE_FIXTURE(CommandFixture, "Commands.ApplyEndsWhenAllHaveIt")
{
    serveAll(R"({"generation":1})");
    const Outcome outcome = apply(write("a.yaml", Good), 30);
    CHECK(outcome.code == ExitOk);
    CHECK(holds(outcome.out, "in force on all 4 daemons"));
    CHECK(outcome.err.empty());
}

TEST_CASE_FIXTURE(CommandFixture, "Commands.RefusedTokenIsToldByItsNumber")
{
    serveAll(R"({"generation":1})");
    options.operatorToken = "guess";
    const Outcome applied = apply(write("a.yaml", Good), 30);
    CHECK(applied.code == ExitBehind);
    CHECK(holds(applied.err, "1011 operator-token-refused"));
    const Outcome status = outcomeOf([&] { return statusCommand(options); });
    CHECK(status.code == ExitFailed);
    CHECK(holds(status.out, "1011 operator-token-refused"));
    const Outcome top = outcomeOf([&] { return topCommand(1, options); });
    CHECK(top.code == ExitFailed);
    CHECK(holds(top.err, "1011 operator-token-refused"));
}

// A mistyped host looked drained and went on taking work.
TEST_CASE_FIXTURE(CommandFixture, "Commands.DrainOfAnUnknownNameIsRefused")
{
    CHECK(apply(write("a.yaml",
                      "pools:\n  - name: p\n    endpoints: [{name: e, address: a, host: h}]\n"))
              .code
          == ExitOk);
    const Outcome unknown = outcomeOf([&] { return drainCommand("entry-3", false, 0, options); });
    CHECK(unknown.code == ExitBadInput);
    CHECK(holds(unknown.err, "4006 dangling-reference"));
    for (const char *name : {"entry-2", "e", "h"}) {
        const Outcome known = outcomeOf([&] { return drainCommand(name, false, 0, options); });
        CHECK(known.code == ExitOk);
    }
    const Outcome back = outcomeOf([&] { return drainCommand("e", true, 0, options); });
    CHECK(holds(back.out, "accepted as generation 5"));
    const Outcome missing = outcomeOf([&] { return removeCommand("b.yaml", 0, options); });
    CHECK(missing.code == ExitBadInput);
    CHECK(holds(missing.err, "4006 dangling-reference"));
}

TEST_CASE_FIXTURE(CommandFixture, "Commands.ExplainFindsWhoHasItWhileOthersAreDown")
{
    const std::string id = "entry-9.router.1-1";
    const Outcome none = outcomeOf([&] { return explainCommand(id, options); });
    CHECK(none.code == ExitFailed);
    CHECK(holds(none.err, "no answer from router entry-1: 3001 endpoint-unreachable"));
    serve(2, DaemonKind::Router, "{}",
          R"({"request":")" + id
              + R"(","decisions":[{"after_ms":0.5,"decision":"queued","code":0,"reason":"ok"},)"
                R"({"after_ms":7,"decision":"refused","code":2001,"reason":"queue-full"}]})");
    const Outcome found = outcomeOf([&] { return explainCommand(id, options); });
    CHECK(found.code == ExitOk);
    CHECK(holds(found.out, "0.5 ms  queued"));
    CHECK(found.out.find("queued") < found.out.find("2001 queue-full"));
    CHECK(outcomeOf([&] { return explainCommand("a b", options); }).code == ExitBadInput);
}

TEST_CASE_FIXTURE(CommandFixture, "Commands.StatusShowsBothDaemonsInEveryFormat")
{
    serve(1, DaemonKind::Router, R"({"generation":7,"hosts":[],"open_requests":3})");
    serve(1, DaemonKind::Scheduler, R"({"generation":7,"hosts":[]})");
    const Outcome text = outcomeOf([&] { return statusCommand(options); });
    CHECK(text.code == ExitFailed);
    CHECK(holds(text.out, "entry-2        scheduler  3001 endpoint-unreachable"));
    options.output = OutputFormat::Json;
    const Outcome asJson = outcomeOf([&] { return statusCommand(options); });
    const auto out = nlohmann::json::parse(asJson.out);
    REQUIRE(out["daemons"].size() == 4);
    CHECK(out["daemons"][0]["status"]["generation"] == 7);
    CHECK(out["daemons"][3].count("fault") == 1);
    options.output = OutputFormat::Yaml;
    const Outcome yaml = outcomeOf([&] { return statusCommand(options); });
    CHECK(holds(yaml.out, "\"daemons\":\n"));
}

} // namespace monsoongrade::ctl
