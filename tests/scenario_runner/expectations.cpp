#include "condition.h"
#include "metricstext.h"
#include "steps.h"

#include <algorithm>
#include <set>
#include <thread>

namespace monsoongrade::scenarios {

namespace {

using configuration::MappingReader;
using load::LoadOutcome;
using load::LoadResult;
using Clock = std::chrono::steady_clock;

constexpr auto Check = std::chrono::milliseconds(50);
constexpr auto AccountsLimit = std::chrono::seconds(5);
constexpr int FirstComeBackLater = 2000;
constexpr int FirstOtherCode = 3000;
const std::string CodePrefix = "code:";

bool isBroken(const LoadResult &r)
{
    return r.outcome == LoadOutcome::Mixed || r.outcome == LoadOutcome::CutShort
        || r.outcome == LoadOutcome::Unequal || r.outcome == LoadOutcome::Lost;
}

bool lacksRetryAfter(const LoadResult &r)
{
    return r.outcome == LoadOutcome::Refused && r.code > FirstComeBackLater
        && r.code < FirstOtherCode && !r.retryAfterGiven;
}

bool lacksReason(const LoadResult &r)
{
    return r.outcome != LoadOutcome::Answered && r.outcome != LoadOutcome::Left && r.reason.empty();
}

bool isCounted(const LoadResult &result, const std::string &word)
{
    if (word == "sent")
        return true;
    if (word == "broken")
        return isBroken(result);
    if (word == "without-retry-after")
        return lacksRetryAfter(result);
    if (word == "without-reason")
        return lacksReason(result);
    if (word.compare(0, CodePrefix.size(), CodePrefix) == 0)
        return std::to_string(result.code) == word.substr(CodePrefix.size());
    return load::loadOutcomeName(result.outcome) == word;
}

// What one word of an expect step comes to among the results.
double valueOf(const std::vector<LoadResult> &results, const std::string &word)
{
    double value = 0;
    for (const LoadResult &result : results) {
        if (word == "slowest-refusal-ms" && result.outcome == LoadOutcome::Refused)
            value
                = std::max(value, std::chrono::duration<double, std::milli>(result.whole).count());
        else if (isCounted(result, word))
            ++value;
    }
    return value;
}

std::string outcomesText(const std::vector<LoadResult> &results)
{
    std::map<std::string, int> counts;
    for (const LoadResult &result : results)
        ++counts[std::string(load::loadOutcomeName(result.outcome))
                 + (result.reason.empty() ? "" : " " + result.reason)];
    std::string text;
    for (const auto &[what, count] : counts)
        text += (text.empty() ? "" : ", ") + std::to_string(count) + " " + what;
    return text;
}

// expect: {load: NAME, answered: 10, refused: ">= 1", ...}; without load, over all loads.
Action readExpect(MappingReader &step, const std::string &word)
{
    static const std::set<std::string> Words{"sent",
                                             "answered",
                                             "refused",
                                             "failed",
                                             "mixed",
                                             "cut-short",
                                             "unequal",
                                             "lost",
                                             "left",
                                             "broken",
                                             "without-reason",
                                             "without-retry-after",
                                             "slowest-refusal-ms"};
    std::string name;
    std::map<std::string, Condition> conditions;
    for (const auto &[key, text] : step.textPairs(word)) {
        if (key == "load")
            name = text;
        else if (Words.count(key) == 0 && key.compare(0, CodePrefix.size(), CodePrefix) != 0)
            step.problem(units::ResultCode::UnknownSetting, word, "nothing counts " + key);
        else
            conditions.emplace(key, readCondition(step, word, text));
    }
    return [=](Stage &stage) {
        const auto results = stage.results(name);
        for (const auto &[key, condition] : conditions) {
            const double value = valueOf(results, key);
            if (!condition.holds(value))
                stage.fail(key + " of " + (name.empty() ? "all loads" : name), condition.text(),
                           std::to_string(value) + "; all: " + outcomesText(results));
        }
    };
}

// What doesn't close on one router; empty where all does.
std::string openAccounts(Cluster &cluster, const std::string &router)
{
    const auto page = cluster.metrics(router);
    if (!page)
        return "no metrics";
    const auto &metrics = *page;
    const auto by = [&](const std::string &name) {
        return metricByLabel(metrics, "monsoongrade_requests_" + name, "class");
    };
    auto ended = by("completed_total");
    for (const char *name : {"refused_total", "failed_total", "in_flight"}) {
        for (const auto &[className, count] : by(name))
            ended[className] += count;
    }
    std::string wrong;
    for (const auto &[className, accepted] : by("accepted_total")) {
        if (accepted != ended[className])
            wrong += className + ": accepted " + std::to_string(accepted) + ", ended or in flight "
                + std::to_string(ended[className]) + "; ";
    }
    return wrong;
}

// expect-accounts: true. accepted = completed + refused + failed + in flight on live routers.
Action readExpectAccounts(MappingReader &step, const std::string &word)
{
    step.flag(word, true);
    return [](Stage &stage) {
        for (const std::string &router : stage.cluster().names("router-")) {
            if (stage.cluster().isDown(router))
                continue;
            const auto until = Clock::now() + AccountsLimit;
            std::string wrong = openAccounts(stage.cluster(), router);
            while (!wrong.empty() && Clock::now() < until) {
                std::this_thread::sleep_for(Check);
                wrong = openAccounts(stage.cluster(), router);
            }
            if (!wrong.empty())
                stage.fail("accounts of " + router, "every class closes", wrong);
        }
    };
}

// expect-exit: {router-1: 0, within: 10s}
Action readExpectExit(MappingReader &step, const std::string &word)
{
    MappingReader item = step.mapping(word);
    const units::Duration limit = item.duration("within", std::chrono::seconds(10));
    std::map<std::string, Condition> codes;
    for (const auto &[name, text] : step.textPairs(word)) {
        if (name != "within")
            codes.emplace(name, readCondition(step, word, text));
    }
    return [=](Stage &stage) {
        for (const auto &[name, condition] : codes) {
            const auto code = stage.cluster().process(name).waitForExit(
                std::chrono::duration_cast<std::chrono::milliseconds>(limit));
            if (!code || !condition.holds(*code))
                stage.fail("exit code of " + name, condition.text(),
                           code ? std::to_string(*code) : "still runs");
        }
    };
}

// expect-metric: {of: router-1, name: N, labels: 'a="b"', value: ">= 1", within: 5s}; the sum over
// the processes whose names begin so and that are up; without of, over all routers.
Action readExpectMetric(MappingReader &step, const std::string &word)
{
    MappingReader item = step.mapping(word);
    const std::string of = item.text("of", "router-");
    const std::string name = item.requiredText("name");
    const std::string labels = item.text("labels");
    const Condition condition = readCondition(item, "value", item.requiredText("value"));
    const units::Duration limit = item.duration("within", std::chrono::seconds(3));
    item.finish();
    return [=](Stage &stage) {
        const auto until = Clock::now() + limit;
        double sum = 0;
        std::string unread;
        do {
            sum = 0;
            unread.clear();
            for (const std::string &one : stage.cluster().names(of)) {
                if (stage.cluster().isDown(one))
                    continue;
                const auto page = stage.cluster().metrics(one);
                if (page)
                    sum += metricSum(*page, name, labels);
                else
                    unread += ", no metrics of " + one;
            }
            if (unread.empty() && condition.holds(sum))
                return;
            std::this_thread::sleep_for(Check);
        } while (Clock::now() < until);
        stage.fail("sum of " + name + " " + labels + " over " + of, condition.text(),
                   std::to_string(sum) + unread);
    };
}

// expect-http: {process: router-1, path: /readyz, status: 200, contains: TEXT, within: 5s}
Action readExpectHttp(MappingReader &step, const std::string &word)
{
    MappingReader item = step.mapping(word);
    const std::string process = item.requiredText("process");
    const std::string path = item.requiredText("path");
    const std::int64_t status = item.integer("status", 200, 0, 999);
    const std::string contains = item.text("contains");
    const std::string lacks = item.text("lacks");
    const units::Duration limit = item.duration("within", std::chrono::seconds(5));
    item.finish();
    return [=](Stage &stage) {
        const auto until = Clock::now() + limit;
        endpoints::WholeAnswer answer;
        do {
            answer = stage.cluster().call("GET", stage.cluster().url(process) + path);
            if (answer.status == status && answer.body.find(contains) != std::string::npos
                && (lacks.empty() || answer.body.find(lacks) == std::string::npos))
                return;
            std::this_thread::sleep_for(Check);
        } while (Clock::now() < until);
        stage.fail("GET " + process + path,
                   std::to_string(status) + (contains.empty() ? "" : " with " + contains)
                       + (lacks.empty() ? "" : " without " + lacks),
                   std::to_string(answer.status) + " " + answer.body);
    };
}

} // namespace

std::map<std::string, StepReader> expectationSteps()
{
    return {{"expect", readExpect},
            {"expect-accounts", readExpectAccounts},
            {"expect-exit", readExpectExit},
            {"expect-metric", readExpectMetric},
            {"expect-http", readExpectHttp}};
}

} // namespace monsoongrade::scenarios
