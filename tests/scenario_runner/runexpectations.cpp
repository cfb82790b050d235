#include "steps.h"

#include <algorithm>

namespace monsoongrade::scenarios {

namespace {

using configuration::MappingReader;
using load::LoadResult;

template <typename IdOf>
std::map<std::string, int> begunBy(const std::vector<JournalEntry> &journal, IdOf idOf)
{
    std::map<std::string, int> counts;
    for (const JournalEntry &entry : journal) {
        const std::string id = idOf(entry);
        if (entry.event == "begun" && !id.empty())
            ++counts[id];
    }
    return counts;
}

void checkMost(Stage &stage, const std::string &what, const std::map<std::string, int> &counts,
               const std::string &beginning, int most)
{
    for (const auto &[id, count] : counts) {
        if (count > most && id.compare(0, beginning.size(), beginning) == 0)
            stage.fail("runs of " + what + " " + id, "at most " + std::to_string(most),
                       std::to_string(count));
    }
}

void checkNotRun(Stage &stage, const std::string &load, const std::map<std::string, int> &byRequest)
{
    for (const LoadResult &result : stage.results(load)) {
        const auto found = byRequest.find(result.requestId);
        if (result.runState == "not-run" && found != byRequest.end())
            stage.fail("runs of " + result.requestId + ", said not to have run", "0",
                       std::to_string(found->second));
    }
}

// expect-runs: {load: NAME, most-per-key: 1, most-per-request: 1, endpoint: E, begun: ">= 3"}; a
// request that its caller was told not to have run must always have no run.
Action readExpectRuns(MappingReader &step, const std::string &word)
{
    MappingReader item = step.mapping(word);
    const std::string load = item.text("load");
    const auto perKey = static_cast<int>(item.integer("most-per-key", 1000, 0, 1000));
    const auto perRequest = static_cast<int>(item.integer("most-per-request", 1000, 0, 1000));
    const std::string endpoint = item.text("endpoint");
    std::map<std::string, Condition> events;
    for (const char *event : {"begun", "ended", "cancelled", "broken", "resumed"})
        events.emplace(event, readCondition(item, event, item.text(event, ">= 0")));
    item.finish();
    return [=](Stage &stage) {
        const auto results = stage.results(load);
        const auto journal = stage.journal(endpoint);
        const auto byKey = begunBy(journal, [](const JournalEntry &e) { return e.key; });
        const auto byRequest = begunBy(journal, [](const JournalEntry &e) { return e.request; });
        checkMost(stage, "key", byKey, load.empty() ? "" : load + "-", perKey);
        std::map<std::string, int> ofLoad;
        for (const LoadResult &result : results) {
            const auto found = byRequest.find(result.requestId);
            if (found != byRequest.end())
                ofLoad.insert(*found);
        }
        checkMost(stage, "request", load.empty() ? byRequest : ofLoad, {}, perRequest);
        checkNotRun(stage, load, byRequest);
        for (const auto &[event, condition] : events) {
            const auto total = std::count_if(
                journal.begin(), journal.end(),
                [name = event](const JournalEntry &entry) { return entry.event == name; });
            if (!condition.holds(static_cast<double>(total)))
                stage.fail("runs " + event, condition.text(), std::to_string(total));
        }
    };
}

// expect-no-new-runs: {endpoint: model-1, since: MARK, grace: 3s, until: MARK}; without until, to
// the end.
Action readExpectNoNewRuns(MappingReader &step, const std::string &word)
{
    MappingReader item = step.mapping(word);
    const std::string endpoint = item.requiredText("endpoint");
    const std::string mark = item.requiredText("since");
    const units::Duration grace = item.duration("grace", std::chrono::seconds(3));
    const std::string end = item.text("until");
    item.finish();
    return [=](Stage &stage) {
        const auto from = stage.marked(mark) + grace;
        const auto to
            = end.empty() ? std::chrono::steady_clock::time_point::max() : stage.marked(end);
        const auto journal = stage.journal(endpoint);
        const auto late = std::count_if(journal.begin(), journal.end(), [&](const auto &entry) {
            return entry.event == "begun" && entry.time > from && entry.time < to;
        });
        if (late != 0)
            stage.fail("runs begun on " + endpoint + " after the mark " + mark, "0",
                       std::to_string(late));
    };
}

// The most runs that one of the endpoints had at the same moment.
int mostAtOnce(const std::vector<JournalEntry> &journal)
{
    std::map<std::string, int> now;
    int most = 0;
    for (const JournalEntry &entry : journal) {
        if (entry.event == "resumed")
            continue;
        now[entry.endpoint] += entry.event == "begun" ? 1 : -1;
        most = std::max(most, now[entry.endpoint]);
    }
    return most;
}

// expect-at-once: {endpoint: model-1, runs: "<= 8"}; the largest of all where none is named.
Action readExpectAtOnce(MappingReader &step, const std::string &word)
{
    MappingReader item = step.mapping(word);
    const std::string endpoint = item.text("endpoint");
    const Condition condition = readCondition(item, "runs", item.requiredText("runs"));
    item.finish();
    return [=](Stage &stage) {
        const int most = mostAtOnce(stage.journal(endpoint));
        if (!condition.holds(most))
            stage.fail("most runs at once on " + (endpoint.empty() ? "one endpoint" : endpoint),
                       condition.text(), std::to_string(most));
    };
}

} // namespace

std::map<std::string, StepReader> runExpectationSteps()
{
    return {{"expect-runs", readExpectRuns},
            {"expect-no-new-runs", readExpectNoNewRuns},
            {"expect-at-once", readExpectAtOnce}};
}

Condition readCondition(MappingReader &item, const std::string &key, const std::string &text)
{
    const auto condition = Condition::parse(text);
    if (!condition)
        item.problem(units::ResultCode::WrongType, key,
                     "expected a number, or >= or <= and a number");
    return condition.value_or(*Condition::parse("0"));
}

} // namespace monsoongrade::scenarios
