#include "../simulatedpool.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace monsoongrade;
using namespace monsoongrade::routing;
using std::chrono::milliseconds;

namespace {

constexpr int Workspaces = 24;
constexpr int Hot = 10; // of middle size
constexpr double HotFactor = 8;
// Until the shared parts are cached.
constexpr milliseconds WarmUp{6000};
constexpr std::int64_t LongSharedTokens = 13300;
constexpr std::int64_t LongOwnTokens = 3720;
constexpr std::int64_t LongPromptTokens = LongSharedTokens + LongOwnTokens;

// Relative load of a workspace: three are large.
double sizeOf(int workspace)
{
    return workspace < 3 ? 3 : workspace < 14 ? 1 : 0.4;
}

std::string className(const std::string &kind, int workspace)
{
    return kind + "-w" + std::to_string(workspace) + "-";
}

SimulatedClass longPrompts(int workspace, double perSecond)
{
    SimulatedClass kind{className("long", workspace),
                        2,
                        perSecond,
                        2,
                        LongSharedTokens,
                        LongOwnTokens,
                        120,
                        milliseconds(2000),
                        milliseconds(1500),
                        milliseconds(8000)};
    kind.workspace = units::WorkspaceName(std::to_string(workspace));
    return kind;
}

// The usual load is about four fifths of what the eight endpoints can serve.
std::vector<SimulatedClass> usualLoad(double scale = 1)
{
    std::vector<SimulatedClass> classes;
    for (int i = 0; i < Workspaces; ++i) {
        classes.push_back(longPrompts(i, 2.2 * scale * sizeOf(i)));
        SimulatedClass shorts{className("short", i),
                              0,
                              1.5 * sizeOf(i),
                              2,
                              350,
                              1110,
                              174,
                              milliseconds(400),
                              milliseconds(400),
                              milliseconds(10000)};
        shorts.workspace = units::WorkspaceName(std::to_string(i));
        classes.push_back(shorts);
    }
    return classes;
}

// After a while, one workspace sends eight times its usual load of long prompts.
std::vector<SimulatedClass> overload(double scale = 1)
{
    std::vector<SimulatedClass> classes = usualLoad(scale);
    SimulatedClass more = longPrompts(Hot, (HotFactor - 1) * 2.2 * scale * sizeOf(Hot));
    more.startsAfter = WarmUp;
    more.parts = 8; // with two, their holders limit how much of it can be placed
    classes.push_back(more);
    return classes;
}

SimulatedPool::Options options()
{
    SimulatedPool::Options result;
    result.endpoints = 8;
    result.length = std::chrono::seconds(36);
    result.countedFrom = WarmUp;
    result.engine.prefillTokensPerMs = 61.2;
    result.engine.stepMs = 3.37;
    result.engine.stepMsPerStream = 0.011;
    result.engine.attentionMsPerMillionPairs = 0.28;
    return result;
}

std::vector<SimulatedClass> withoutWorkspaces(std::vector<SimulatedClass> classes)
{
    for (SimulatedClass &kind : classes)
        kind.workspace = {};
    return classes;
}

using Outcomes = std::map<std::string, SimulatedOutcome>;

double servedShare(const SimulatedOutcome &outcome)
{
    return double(outcome.served()) / std::max(outcome.asked, 1);
}

void checkThatOthersAreServed(const Outcomes &usual, const Outcomes &overloaded)
{
    for (int i = 0; i < Workspaces; ++i) {
        if (i == Hot)
            continue;
        const SimulatedOutcome &before = usual.at(className("long", i));
        const SimulatedOutcome &after = overloaded.at(className("long", i));
        CHECK_MESSAGE(servedShare(after) >= 0.95 * servedShare(before), "workspace ", i,
                      ": served ", after.served(), " of ", after.asked, ", before ",
                      before.served(), " of ", before.asked);
    }
}

// Sum of placed tokens of the class in all workspaces.
std::int64_t placedTokens(const Outcomes &outcomes, const std::string &kind)
{
    std::int64_t sum = 0;
    for (int i = 0; i < Workspaces; ++i)
        sum += outcomes.at(className(kind, i)).placedTokens;
    return sum;
}

double onTimeShareOfShorts(const Outcomes &outcomes)
{
    double asked = 0;
    double onTime = 0;
    for (int i = 0; i < Workspaces; ++i) {
        asked += outcomes.at(className("short", i)).asked;
        onTime += outcomes.at(className("short", i)).onTime;
    }
    return onTime / asked;
}

} // namespace

TEST_CASE("WorkspaceLoad.OverloadOfOneWorkspaceDoesNotAffectOthers")
{
    // One workspace sends eight times its usual load of long prompts, more than the pool can serve.
    // Without shares, all workspaces bear the refusals. Its own requests must still get the
    // capacity that the others leave, and the higher tier must be served as without shares; its
    // gaps vary with the use of the endpoints.
    const Outcomes usual = SimulatedPool(options(), usualLoad()).play();
    const Outcomes fair = SimulatedPool(options(), overload()).play();
    const Outcomes unfair = SimulatedPool(options(), withoutWorkspaces(overload())).play();
    checkThatOthersAreServed(usual, fair);

    const std::int64_t capacity = placedTokens(unfair, "long");
    std::int64_t demandOfOthers = 0;
    for (int i = 0; i < Workspaces; ++i)
        demandOfOthers += i == Hot ? 0 : fair.at(className("long", i)).asked * LongPromptTokens;
    const SimulatedOutcome &hot = fair.at(className("long", Hot));
    CHECK_MESSAGE(double(hot.placedTokens) > 0.9 * double(capacity - demandOfOthers), "placed ",
                  hot.placedTokens, " of ", hot.asked * LongPromptTokens, " tokens, capacity ",
                  capacity, ", demand of others ", demandOfOthers);
    CHECK_MESSAGE(hot.refused > hot.asked / 10, "expected an overload, but refused ", hot.refused);
    for (int i = 0; i < Workspaces; ++i) {
        const SimulatedOutcome &shorts = fair.at(className("short", i));
        CHECK_MESSAGE(shorts.queued + shorts.refused + shorts.left + shorts.cut == 0,
                      "short requests of workspace ", i, " were delayed or refused");
    }
    CHECK_MESSAGE(onTimeShareOfShorts(fair) > 0.95 * onTimeShareOfShorts(unfair),
                  onTimeShareOfShorts(fair), " instead of ", onTimeShareOfShorts(unfair));
}

TEST_CASE("WorkspaceLoad.NoWorkspaceStarves")
{
    // Most workspaces demand more than their share at once. Each must get at least a quarter of its
    // share: the smaller of its demand and an equal part of the placed tokens.
    SimulatedPool::Options shorter = options();
    shorter.length = std::chrono::seconds(18);
    const Outcomes outcomes = SimulatedPool(shorter, overload(2)).play();
    const std::int64_t equalPart = placedTokens(outcomes, "long") / Workspaces;
    for (int i = 0; i < Workspaces; ++i) {
        const SimulatedOutcome &outcome = outcomes.at(className("long", i));
        const std::int64_t share = std::min(outcome.asked * LongPromptTokens, equalPart);
        CHECK_MESSAGE(outcome.placedTokens * 4 >= share, "workspace ", i, ": ",
                      outcome.placedTokens, " of ", share);
    }
}

TEST_CASE("WorkspaceLoad.NewCoordinatorRestoresSharesWithin2Seconds")
{
    // The counts are lost with the coordinator in the middle of the overload. The new one must not
    // need long to recognize the overloading workspace.
    SimulatedPool::Options failing = options();
    failing.length = std::chrono::seconds(24);
    failing.coordinatorLostAt = std::chrono::seconds(10);
    failing.countedFrom = std::chrono::seconds(12);
    const Outcomes usual = SimulatedPool(failing, usualLoad()).play();
    const Outcomes overloaded = SimulatedPool(failing, overload()).play();
    checkThatOthersAreServed(usual, overloaded);
}
